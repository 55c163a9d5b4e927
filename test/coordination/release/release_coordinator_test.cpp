/// Tests of one coordinator with a table that answers, fails, loses answers, or was changed by
/// another coordinator.
#include "ferryroad/coordination/release/release_coordinator.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace ferryroad;
using namespace ferryroad::coordination::release;
using namespace std::chrono_literals;

namespace {

const base::pool_name pool("p");
const software_version v1("v1");
const software_version v2("v2");
const software_version v3("v3");
constexpr store_milliseconds store_start = 1'000'000;
constexpr base::duration step = 100ms;

enum class store_behavior { answers, down, loses_answers };

/// A table of one row, and routers that report at each tick and are notified at once.
struct fixture {
    release_coordinator coordinator;
    coordinator_view view;
    base::monotonic_time now{1h};
    store_behavior store = store_behavior::answers;
    std::optional<release_record> row;
    std::uint64_t row_version = 0;
    std::vector<release_phase> phases;     ///< Phases of all writes that took effect.
    std::vector<release_phase> statuses;   ///< Phases reported to operators.
    std::vector<release_phase> announced;  ///< Phases announced to all routers at once.
    std::size_t reads = 0;
    std::size_t reporters = 3;
    std::uint32_t unrepeatable = 0;
    bool clock_known = true;

    explicit fixture(base::duration allowed = 30s, std::uint64_t number = 5)
        : coordinator({order_number(number), pool, v2, allowed}, seen_at_once()) {
        view.routers = 3;
        view.listed = {v1, v2};
        view.target_engines = 2;
    }

    static coordinator_tunables seen_at_once() {
        coordinator_tunables tunables;
        tunables.max_order_age = 0ms;
        return tunables;
    }
    void put(const release_record& record) {
        row = record;
        ++row_version;
    }
    void report(const std::string& router, bool saw_bad = false) {
        const auto told = coordinator.notice();
        coordinator.reported(
            {base::router_name(router), coordinator.order().number,
             told ? std::optional(told->phase) : std::nullopt, saw_bad, unrepeatable},
            now);
    }
    void tick() {
        now += step;
        const auto since = base::to_milliseconds(now.time_since_epoch() - 1h);
        view.store_now_earliest = clock_known ? store_start + since - 5 : 0;
        view.store_now_latest = clock_known ? store_start + since + 5 : 0;
        for (std::size_t index = 0; index < reporters; ++index) {
            report("r" + std::to_string(index));
        }
        for (const coordinator_action& wanted : coordinator.tick(view, now)) {
            carry_out(wanted);
        }
    }
    void run(base::duration period) {
        for (base::duration elapsed{}; elapsed < period; elapsed += step) {
            tick();
        }
    }
    void carry_out(const coordinator_action& wanted) {
        if (const auto* told = std::get_if<tell_routers>(&wanted)) {
            announced.push_back(told->notice.phase);
            return;
        }
        if (store == store_behavior::down) {
            coordinator.call_failed(now);
            return;
        }
        bool done = true;
        if (const auto* write = std::get_if<write_record>(&wanted)) {
            done = write->expected_row == row_version;
            if (done) {
                put(write->record);
                phases.push_back(write->record.phase);
            }
        }
        if (const auto* told = std::get_if<tell_status>(&wanted)) {
            statuses.push_back(told->phase);
        }
        if (!done || store == store_behavior::loses_answers) {
            coordinator.call_failed(now);
        } else if (std::holds_alternative<read_record>(wanted)) {
            ++reads;
            coordinator.record_read(row, row_version, now);
        } else if (std::holds_alternative<write_record>(wanted)) {
            coordinator.record_written(row_version, now);
        } else {
            coordinator.status_told(now);
        }
    }
    release_phase phase() const { return row->phase; }
    bool ended_as(release_phase wanted) const {
        return row && row->phase == wanted && row->status_told && coordinator.done() &&
               !statuses.empty() && statuses.back() == wanted;
    }
};

constexpr auto trial = release_phase::trial;
constexpr auto promoted = release_phase::promoted;
constexpr auto completed = release_phase::completed;
constexpr auto rolled_back = release_phase::rolled_back;
using phases = std::vector<release_phase>;

release_record record_of(std::uint64_t number, const software_version& target,
                         release_phase phase) {
    release_record record;
    record.order = order_number(number);
    record.target = target;
    record.phase = phase;
    record.ordered_after = store_start;
    return record;
}

}  // namespace

Test(release_coordinator, a_good_version_is_in_force_by_the_deadline) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(26800ms);
    cr_assert(one.phase() == trial, "the trial lasts until the switchover");
    cr_assert(one.statuses == phases{trial});
    cr_assert(one.row->ordered_after >= store_start && one.row->ordered_after <= store_start + 200);
    one.run(1s);
    cr_assert(one.ended_as(completed));
    cr_assert(one.phases == phases({trial, promoted, completed, completed}));
    cr_assert(one.announced == phases({promoted, completed}));
    cr_assert(one.row->replaced == std::set{v1});
    cr_assert(one.statuses == phases({trial, completed}));
}

Test(release_coordinator, a_bad_version_is_rolled_back_at_once) {
    fixture one;
    one.run(3s);
    one.view.found = trial_verdict::bad;
    one.tick();
    cr_assert(one.announced == phases{rolled_back});
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
    cr_assert(one.row->refused == std::set{v2});
    cr_assert(one.row->replaced.empty());
}

Test(release_coordinator, a_bad_version_is_rolled_back_even_when_promoted) {
    fixture one;
    one.unrepeatable = 1;
    one.view.found = trial_verdict::good;
    one.run(27500ms);
    cr_assert(one.phase() == promoted);
    one.view.found = trial_verdict::bad;
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
    cr_assert(one.row->replaced.empty());
}

Test(release_coordinator, two_bad_reports_suffice_and_one_does_not) {
    fixture one;
    one.reporters = 0;
    one.run(1s);
    one.report("a", true);
    one.report("a", true);
    one.run(1s);
    cr_assert(one.phase() == trial);
    one.report("b", true);
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
}

Test(release_coordinator, a_roll_back_reported_by_a_router_is_adopted) {
    fixture one;
    one.run(1s);
    one.coordinator.reported({base::router_name("x"), order_number(5), rolled_back}, one.now);
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
}

Test(release_coordinator, reports_of_another_order_are_no_evidence) {
    fixture one;
    one.run(1s);
    for (const char* router : {"x", "y", "z"}) {
        one.coordinator.reported({base::router_name(router), order_number(4), rolled_back, true},
                                 one.now);
    }
    one.run(1s);
    cr_assert(one.phase() == trial);
}

Test(release_coordinator, an_undecided_trial_is_decided_at_the_deadline) {
    for (const bool good : {true, false}) {
        fixture one;
        one.view.at_deadline = good ? trial_verdict::good : trial_verdict::bad;
        one.run(26800ms);
        cr_assert(one.phase() == trial);
        one.run(1s);
        cr_assert(one.ended_as(good ? completed : rolled_back));
    }
}

Test(release_coordinator, no_step_forward_without_fresh_reports_of_a_majority) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.reporters = 1;
    one.run(40s);
    cr_assert(one.phase() == trial);
    one.reporters = 2;
    one.run(1s);
    cr_assert(one.ended_as(completed), "late rather than never");
}

Test(release_coordinator,
     completion_waits_for_non_repeatable_requests_until_shortly_before_the_deadline) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.unrepeatable = 2;
    one.run(29s);
    cr_assert(one.phase() == promoted);
    one.run(700ms);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, a_version_without_engines_is_rolled_back) {
    for (const bool pool_known : {true, false}) {
        fixture one;
        one.view.listed = pool_known ? std::set{v1} : std::set<software_version>{};
        one.view.target_engines = 0;
        one.view.found = trial_verdict::undecided;
        one.view.at_deadline = trial_verdict::good;
        one.run(26800ms);
        cr_assert(one.phase() == trial);
        one.run(1s);
        cr_assert(one.ended_as(rolled_back));
    }
}

Test(release_coordinator, losing_all_target_engines_after_the_promotion_rolls_back) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.unrepeatable = 1;
    one.run(27500ms);
    one.view.target_engines = 0;
    one.view.listed = {v1};
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
}

Test(release_coordinator, the_version_in_force_is_completed_at_once) {
    fixture one;
    one.view.listed = {v2};
    one.run(1s);
    cr_assert(one.ended_as(completed));
    cr_assert(one.phases == phases({completed, completed}));
}

Test(release_coordinator, the_version_in_force_is_completed_once_its_list_was_read) {
    fixture one;
    one.view.listed = {};
    one.view.target_engines = 0;
    one.run(1s);
    cr_assert(one.phase() == trial);
    one.view.listed = {v2};
    one.view.target_engines = 2;
    one.run(1s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, a_trial_is_not_completed_because_all_old_engines_crashed) {
    fixture one;
    one.run(1s);
    one.view.listed = {v2};
    one.run(2s);
    cr_assert(one.phase() == trial);
    fixture next;
    next.put(record_of(5, v2, trial));
    next.view.listed = {v2};
    next.run(2s);
    cr_assert(next.phase() == trial, "nor by one that takes over the release");
}

Test(release_coordinator, an_order_for_the_version_in_force_completes_at_once) {
    fixture one;
    one.put(record_of(4, v3, trial));
    one.view.listed = {v2, v3};
    one.run(1s);
    cr_assert(one.ended_as(completed));
    cr_assert(one.row->refused == std::set{v3});
}

Test(release_coordinator, the_next_order_refuses_earlier_targets) {
    for (const auto phase : {trial, promoted, completed, rolled_back}) {
        fixture one;
        release_record before = record_of(4, v3, phase);
        before.refused = {v2, software_version("v0")};
        before.replaced = {v1};
        before.status_told = true;
        one.put(before);
        one.run(1s);
        std::set refused{software_version("v0")};
        if (phase != completed) {
            refused.insert(v3);
        }
        cr_assert(one.row->order == order_number(5));
        cr_assert(one.row->refused == refused);
        cr_assert(one.row->replaced.empty());
        cr_assert_not(one.row->status_told);
    }
}

Test(release_coordinator, an_order_older_than_the_record_does_nothing) {
    fixture one;
    one.put(record_of(6, v3, trial));
    one.view.found = trial_verdict::bad;
    one.run(40s);
    cr_assert(one.phases.empty());
    cr_assert(one.statuses.empty());
    cr_assert(one.announced.empty());
    cr_assert_not(one.coordinator.notice().has_value());
    cr_assert(one.coordinator.done());
    cr_assert_eq(one.reads, 1U);
}

Test(release_coordinator, a_coordinator_can_take_over_at_any_step) {
    for (const bool told : {false, true}) {
        for (const auto phase : {trial, promoted, completed, rolled_back}) {
            fixture one;
            release_record before = record_of(5, v2, phase);
            before.status_told = told && is_final(phase);
            one.put(before);
            one.now += 20s;
            one.view.found = trial_verdict::good;
            one.run(9s);
            const auto end = phase == rolled_back ? rolled_back : completed;
            cr_assert(one.row->phase == end && one.row->status_told);
            cr_assert(one.coordinator.done());
            cr_assert_eq(one.statuses.empty(), before.status_told,
                         "reported by the coordinator that wrote the record last");
            cr_assert_eq(one.announced.empty(), before.status_told);
        }
    }
}

Test(release_coordinator, the_time_of_the_order_survives_a_takeover) {
    fixture one;
    one.put(record_of(5, v2, trial));
    one.now += 26900ms;
    one.view.found = trial_verdict::good;
    one.run(1s);
    cr_assert(one.ended_as(completed));
    cr_assert(one.row->ordered_after == store_start);
}

Test(release_coordinator, without_the_store_no_step_forward_but_a_roll_back_is_announced) {
    fixture one;
    one.run(2s);
    one.store = store_behavior::down;
    one.view.found = trial_verdict::good;
    one.run(40s);
    cr_assert(one.phase() == trial);
    cr_assert(one.announced.empty());
    cr_assert_not(one.coordinator.notice().has_value(),
                  "no grants by a record that may be outdated");
    one.view.found = trial_verdict::bad;
    one.tick();
    cr_assert(one.announced == phases{rolled_back});
    cr_assert(one.coordinator.notice()->phase == rolled_back);
    cr_assert(one.coordinator.notice()->refused == std::set{v2});
    one.view.found = trial_verdict::good;
    one.store = store_behavior::answers;
    one.run(1500ms);
    cr_assert(one.ended_as(rolled_back));
    cr_assert(one.announced == phases{rolled_back}, "announced at once and only once");
}

Test(release_coordinator, a_good_version_is_completed_late_if_the_store_is_down_over_the_deadline) {
    fixture one;
    one.run(2s);
    one.store = store_behavior::down;
    one.view.found = trial_verdict::good;
    one.run(40s);
    one.store = store_behavior::answers;
    one.run(2s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, a_deadline_that_has_passed_is_decided_at_once) {
    fixture one;
    one.put(record_of(5, v2, trial));
    one.now += 300s;
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
}

Test(release_coordinator, the_time_of_the_order_is_kept_if_the_store_is_down_from_the_start) {
    fixture one;
    one.store = store_behavior::down;
    one.run(10s);
    one.store = store_behavior::answers;
    one.run(1s);
    cr_assert(one.row->ordered_after <= store_start + 200);
}

Test(release_coordinator, lost_answers_are_read_again) {
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        base::seeded_random random(seed);
        fixture one;
        one.view.found = trial_verdict::good;
        for (base::duration elapsed{}; elapsed < 60s && !one.coordinator.done(); elapsed += step) {
            const bool lost = random.below(2) == 0;
            one.store = lost ? store_behavior::loses_answers : store_behavior::answers;
            one.tick();
        }
        cr_assert(one.ended_as(completed));
        cr_assert_eq(std::count(one.phases.begin(), one.phases.end(), trial), 1);
        cr_assert_eq(std::count(one.phases.begin(), one.phases.end(), promoted), 1);
    }
}

Test(release_coordinator, no_second_call_while_one_is_in_flight) {
    release_coordinator one({order_number(5), pool, v2, 30s});
    const coordinator_view view;
    const base::monotonic_time now{1h};
    cr_assert_eq(one.tick(view, now).size(), 1U);
    cr_assert(one.tick(view, now + 60s).empty());
    one.call_failed(now + 60s);
    cr_assert(one.tick(view, now + 60s).empty(), "nor right after a failure");
    cr_assert_eq(one.tick(view, now + 61s).size(), 1U);
}

Test(release_coordinator, a_completion_by_another_coordinator_overrides_an_unwritten_roll_back) {
    fixture one;
    one.run(1s);
    one.store = store_behavior::down;
    one.view.found = trial_verdict::bad;
    one.run(1s);
    release_record other = *one.row;
    other.phase = completed;
    other.replaced = {v1};
    one.put(other);
    one.store = store_behavior::answers;
    one.run(1s);
    cr_assert(one.ended_as(completed));
    cr_assert(one.announced == phases({rolled_back, completed}));
}

Test(release_coordinator, a_promotion_by_another_coordinator_does_not_revert_a_roll_back) {
    fixture one;
    one.run(1s);
    one.store = store_behavior::down;
    one.view.found = trial_verdict::bad;
    one.run(1s);
    one.view.found = trial_verdict::good;
    release_record other = *one.row;
    other.phase = promoted;
    other.replaced = {v1};
    one.put(other);
    one.store = store_behavior::answers;
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
    cr_assert(one.announced == phases{rolled_back});
}

Test(release_coordinator, after_a_freeze_it_grants_nothing_before_it_has_read) {
    fixture one;
    one.run(20s);
    release_record other = *one.row;
    other.phase = rolled_back;
    other.refused = {v2};
    one.put(other);
    one.now += 8s;
    one.report("r0");
    cr_assert_not(one.coordinator.notice().has_value());
    one.view.found = trial_verdict::good;
    one.run(1s);
    cr_assert(one.phase() == rolled_back);
    cr_assert(one.coordinator.notice()->phase == rolled_back);
    cr_assert(one.ended_as(rolled_back),
              "the phase that the other coordinator recorded is reported to operators");
}

Test(release_coordinator, after_a_freeze_old_reports_allow_no_step_forward) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(20s);
    one.now += 20s;
    one.reporters = 0;
    one.run(5s);
    cr_assert(one.phase() == trial);
}

Test(release_coordinator, after_a_freeze_delayed_reports_are_not_fresh) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(20s);
    one.now += 20s;
    for (const char* router : {"r0", "r1", "r2"}) {
        one.report(router);
    }
    one.reporters = 0;
    one.run(5s);
    cr_assert(one.phase() == trial);
    one.reporters = 2;
    one.run(1s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, a_decided_roll_back_stands_when_the_evidence_disappears) {
    fixture one;
    one.run(1s);
    one.store = store_behavior::down;
    one.reporters = 0;
    one.view.found = trial_verdict::bad;
    one.run(1s);
    one.view.found = trial_verdict::undecided;
    one.run(1s);
    cr_assert(one.coordinator.notice()->phase == rolled_back);
    one.store = store_behavior::answers;
    one.run(1s);
    cr_assert(one.ended_as(rolled_back));
}

Test(release_coordinator, a_lost_row_is_written_again) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(10s);
    const release_record before = *one.row;
    one.row.reset();
    one.row_version = 0;
    one.run(3s);
    cr_assert(one.row == before);
    one.run(15s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, target_engines_may_start_late_or_disappear_for_a_while) {
    fixture one;
    one.view.found = trial_verdict::good;
    for (const std::size_t engines : {0U, 2U, 0U, 1U}) {
        one.view.target_engines = engines;
        one.run(6500ms);
        cr_assert(one.phase() == trial);
    }
    one.run(2s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, no_record_before_the_clock_is_known) {
    fixture one;
    one.clock_known = false;
    one.run(5s);
    cr_assert_not(one.row.has_value());
    cr_assert(one.phases.empty());
    one.clock_known = true;
    one.run(1s);
    cr_assert(one.row.has_value());
    cr_assert(one.row->ordered_after <= store_start + 200,
              "calculated back to when the order was first seen");
}

Test(release_coordinator, an_order_may_be_older_than_when_it_was_first_seen) {
    fixture one;
    one.coordinator = release_coordinator(one.coordinator.order());
    one.view.found = trial_verdict::good;
    one.run(2s);
    cr_assert(one.row->ordered_after >= store_start - 1000);
    cr_assert(one.row->ordered_after <= store_start - 800);
    one.run(23800ms);
    cr_assert(one.phase() == trial);
    one.run(1s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, the_end_is_reported_again_after_a_late_running_status) {
    for (const bool answer_lost : {false, true}) {
        fixture one;
        one.run(200ms);
        cr_assert(one.statuses.empty());
        one.store = answer_lost ? store_behavior::loses_answers : store_behavior::answers;
        one.tick();
        cr_assert(one.statuses == phases{trial});
        one.store = store_behavior::answers;
        release_record other = *one.row;
        other.phase = rolled_back;
        other.status_told = true;  // Set by another coordinator just before this one reported.
        one.put(other);
        one.run(2s);
        cr_assert(one.statuses == phases({trial, rolled_back}));
        cr_assert(one.ended_as(rolled_back));
    }
}

Test(release_coordinator, its_own_clock_replaces_a_lost_store_clock) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(5s);
    one.clock_known = false;
    one.run(21700ms);
    cr_assert(one.phase() == trial);
    one.run(2s);
    cr_assert(one.ended_as(completed));
}

Test(release_coordinator, less_time_than_the_switchover_takes) {
    for (const base::duration allowed : {base::duration(2s), base::duration(1s)}) {
        fixture one(allowed);
        one.view.found = trial_verdict::good;
        one.run(allowed / 2 - step);
        cr_assert(one.phase() == trial);
        one.run(allowed / 2);
        cr_assert(one.row->phase == completed);
        fixture other(allowed);
        other.run(allowed + 1s);
        cr_assert(other.ended_as(rolled_back), "no evidence in so short a time");
    }
}

Test(release_coordinator, calls_of_a_whole_release) {
    fixture one;
    one.view.found = trial_verdict::good;
    one.run(60s);
    cr_assert(one.ended_as(completed));
    cr_assert_leq(one.reads, 31U, "one a second while it is open");
    const std::size_t reads = one.reads;
    one.run(60s);
    cr_assert_eq(one.reads, reads, "and none afterwards");
}
