/// Tests of one member's failure detector, event by event.
#include "ferryroad/coordination/membership/failure_detector.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <chrono>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::membership;
using namespace std::chrono_literals;

member_update member(const std::string& name, std::uint16_t port, const std::string& zone = "a",
                     std::uint64_t incarnation = 10, member_state state = member_state::alive) {
    return {base::router_name(name), base::endpoint{"10.0.0.1", port}, base::zone_name(zone),
            base::region_name("r"),  base::incarnation(incarnation),   state};
}

struct bench {
    base::seeded_random random{1};
    base::monotonic_time now{1h};
    failure_detector detector{{}, member("self", 1), {}, random, now};

    actions hear(std::vector<member_update> members, probe content = {}) {
        datagram message{base::router_name("other"),
                         base::incarnation(1),
                         0,
                         0,
                         content,
                         std::move(members),
                         {}};
        return detector.on_datagram(message, {"10.0.0.1", 99}, now);
    }
    /// Ticks without delay until `condition` holds for one of the actions.
    template <typename Condition>
    void tick_until(Condition condition) {
        bool met = false;
        while (!met) {
            now = detector.next_tick();
            const actions todo = detector.on_tick(now);
            met = std::any_of(todo.begin(), todo.end(), condition);
        }
    }
    std::optional<member_state> state_of(const std::string& name) const {
        const member_record* record = detector.members().find(base::router_name(name));
        return record ? std::optional(record->update.state) : std::nullopt;
    }
};

const datagram* sent(const action& each) {
    const auto* out = std::get_if<send_datagram>(&each);
    return out ? &out->message : nullptr;
}
template <typename Probe>
bool sends(const action& each) {
    const datagram* message = sent(each);
    return message != nullptr && std::holds_alternative<Probe>(message->probe);
}

/// What is known of member "b", the update received, and the expected state and incarnation
/// afterwards.
struct merge_row {
    const char* what;
    std::optional<member_update> known;
    member_update heard;
    std::optional<member_state> state;
    std::uint64_t incarnation;
};

member_update b(std::uint64_t incarnation, member_state state) {
    return member("b", 2, "a", incarnation, state);
}

using enum member_state;
const merge_row merge_rows[] = {
    {"a stranger", std::nullopt, b(5, alive), alive, 5},
    {"a suspected stranger", std::nullopt, b(5, suspect), suspect, 5},
    {"a dead stranger", std::nullopt, b(5, dead), std::nullopt, 0},
    {"old news", b(5, alive), b(4, dead), alive, 5},
    {"suspicion", b(5, alive), b(5, suspect), suspect, 5},
    {"no refutation without a new incarnation", b(5, suspect), b(5, alive), suspect, 5},
    {"refutation", b(5, suspect), b(6, alive), alive, 6},
    {"late suspicion of an earlier incarnation", b(6, alive), b(5, suspect), alive, 6},
    {"a death is a suspicion first", b(5, alive), b(5, dead), suspect, 5},
    {"a second copy of it does not hasten", b(5, suspect), b(5, dead), suspect, 5},
    {"leaving", b(5, suspect), b(6, leaving), leaving, 6},
    {"no suspicion of a leaving member", b(5, leaving), b(5, suspect), leaving, 5},
    {"end of a leaving member", b(5, leaving), b(5, dead), dead, 5},
};
constexpr std::size_t merge_count = sizeof(merge_rows) / sizeof(merge_rows[0]);

}  // namespace

ParameterizedTestParameters(failure_detector, merge_table) {
    static std::size_t indexes[merge_count];
    for (std::size_t index = 0; index < merge_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, merge_count);
}

ParameterizedTest(std::size_t* index, failure_detector, merge_table) {
    const merge_row& row = merge_rows[*index];
    bench test;
    if (row.known) {
        test.hear({*row.known});
    }
    test.hear({row.heard});
    const member_record* held = test.detector.members().find(base::router_name("b"));
    cr_assert_eq(held != nullptr, row.state.has_value(), "%s", row.what);
    if (held != nullptr) {
        cr_assert(held->update.state == *row.state, "%s", row.what);
        cr_assert_eq(held->update.incarnation.value, row.incarnation, "%s", row.what);
    }
}

Test(failure_detector, refutes_accusations_of_itself) {
    bench test;
    for (const member_state state : {suspect, dead, leaving}) {
        const std::uint64_t accused = test.detector.self().incarnation.value;
        test.hear({member("self", 1, "a", accused, state)});
        cr_assert_eq(test.detector.self().incarnation.value, accused + 1);
        cr_assert(test.detector.self().state == alive);
    }
    // A former process with this name whose clock was ahead.
    test.hear({member("self", 7, "a", 5000, alive)});
    cr_assert_eq(test.detector.self().incarnation.value, 5001);
    test.hear({member("self", 7, "a", 4000, dead)});
    cr_assert_eq(test.detector.self().incarnation.value, 5001);
}

Test(failure_detector, an_accused_sender_gets_the_accusation_in_the_ack) {
    bench test;
    test.hear({member("other", 99, "a", 10, alive)});
    test.hear({member("other", 99, "a", 10, suspect)});
    const actions todo = test.hear({}, ping{3});
    const auto answer = std::find_if(todo.begin(), todo.end(), sends<ack>);
    cr_assert(answer != todo.end());
    cr_assert(sent(*answer)->members.front() == member("other", 99, "a", 10, suspect));
}

Test(failure_detector, asks_other_zones_first_after_a_failed_probe) {
    bench test;
    std::vector<member_update> members{member("target", 2, "a")};
    for (std::uint16_t index = 0; index < 3; ++index) {
        members.push_back(member("near-" + std::to_string(index), 10 + index, "a"));
        members.push_back(member("far-" + std::to_string(index), 20 + index, "b"));
    }
    test.hear(members);
    test.detector.probe_soon(base::router_name("target"));
    std::vector<std::uint16_t> asked;
    while (asked.empty()) {
        test.now = test.detector.next_tick();
        for (const action& each : test.detector.on_tick(test.now)) {
            if (sends<ping_request>(each)) {
                cr_assert(std::get<ping_request>(sent(each)->probe).target.value == "target");
                asked.push_back(std::get<send_datagram>(each).to.port);
            }
        }
    }
    std::sort(asked.begin(), asked.end());
    cr_assert(asked == std::vector<std::uint16_t>({20, 21, 22}));
}

Test(failure_detector, forwards_a_ping_and_its_ack) {
    bench test;
    test.hear({member("target", 2)});
    actions todo = test.hear({}, ping_request{77, base::router_name("target")});
    const auto passed = std::find_if(todo.begin(), todo.end(), sends<ping>);
    cr_assert(passed != todo.end());
    cr_assert_eq(std::get<send_datagram>(*passed).to.port, 2);
    const std::uint64_t sequence = std::get<ping>(sent(*passed)->probe).sequence;
    todo = test.hear({}, ack{sequence});
    const auto answer = std::find_if(todo.begin(), todo.end(), sends<ack>);
    cr_assert(answer != todo.end());
    cr_assert_eq(std::get<send_datagram>(*answer).to.port, 99);
    cr_assert_eq(std::get<ack>(sent(*answer)->probe).sequence, 77);
    cr_assert(test.hear({}, ack{sequence}).empty(), "an ack is passed on once");
}

Test(failure_detector, a_late_tick_is_no_evidence) {
    bench test;
    test.hear({member("b", 2)});
    test.tick_until(sends<ping>);
    test.now = test.detector.next_tick() + 1h;
    test.detector.on_tick(test.now);
    cr_assert(test.state_of("b") == alive);
    test.hear({member("b", 2, "a", 10, suspect)});
    test.now = test.detector.next_tick() + 1h;
    test.detector.on_tick(test.now);
    cr_assert(test.state_of("b") == suspect, "its time to refute goes on after the pause");
}

Test(failure_detector, departed_member_is_silent) {
    bench test;
    test.hear({member("b", 2)});
    const actions todo = test.detector.depart();
    cr_assert_eq(todo.size(), 1);
    cr_assert(sent(todo.front())->members.front().state == dead);
    cr_assert(test.hear({}, ping{1}).empty());
    cr_assert(test.detector.on_tick(test.now + 10s).empty());
}

Test(failure_detector, notices_are_bounded_and_the_higher_version_wins) {
    bench test;
    test.detector.spread({"engine", 2, false}, test.now);
    test.detector.spread({"engine", 1, true}, test.now);
    test.detector.spread({"engine", 2, true}, test.now);
    test.detector.spread({"engine", 2, false}, test.now);
    std::vector<notice> learned;
    for (int index = 0; index < 1000; ++index) {
        test.detector.spread({"engine-" + std::to_string(index), 1, true}, test.now);
    }
    for (const action& each : test.detector.on_tick(test.detector.next_tick())) {
        if (const auto* news = std::get_if<notice_learned>(&each)) {
            learned.push_back(news->notice);
        }
    }
    cr_assert_eq(learned.size(), detector_settings{}.max_notices + 1);
    cr_assert(learned[0] == notice({"engine", 2, false}));
    cr_assert(learned[1] == notice({"engine", 2, true}));
}
