/// Simulation of a fleet of routers that replicate one table in virtual time, with the router's own
/// components and under faults: routers that stop, freeze and resume, links that fail in one
/// direction, an owner that is down, rejects some routers, or answers late. Checked throughout:
/// - a version never decreases at a router;
/// - a copy is never taken to be newer than it is: it contains everything that the owner accepted
///   before the moment of its confirmation;
/// - some time after the last fault every copy is current, and few routers read the owner.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/reading/source_selector.hpp"
#include "ferryroad/coordination/reading/table_mirror.hpp"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::reading;
using namespace std::chrono_literals;

constexpr base::duration call_margin = 300ms;
constexpr base::duration shortest_hold = 200ms;
constexpr base::duration longest_hold = 600ms;
constexpr base::duration pace = 500ms;
constexpr base::duration retry = 100ms;

struct call_answer {
    std::optional<std::vector<record>> changes;  ///< If empty, `rows` has all rows.
    std::vector<record> rows;
    std::uint64_t version = 0;
    base::duration confirmed_after{};
};

class fleet {
  public:
    fleet(std::size_t routers, std::size_t zones, std::uint64_t seed) : m_random(seed) {
        for (std::size_t index = 0; index < routers; ++index) {
            auto added = std::make_unique<router>();
            added->self = make_member(base::router_name("r" + std::to_string(index)),
                                      base::zone_name("z" + std::to_string(index % zones)));
            // The steady clocks of different processes are unrelated.
            added->clock_offset = base::duration(m_random.below(1'000'000'000'000));
            m_members.push_back(added->self);
            m_routers.push_back(std::move(added));
        }
        for (auto& one : m_routers) {
            start(*one);
        }
        after(20ms, [this] { change_owner(); });
    }

    std::size_t size() const { return m_routers.size(); }
    base::random_source& random() { return m_random; }

    void run_for(base::duration period) {
        const base::duration end = m_now + period;
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.act();
        }
        m_now = end;
    }

    // ---- Faults ----

    void stop(std::size_t index) {
        router& one = *m_routers[index];
        one.running = false;
        ++one.process_number;
    }
    /// Restarts a stopped router without its former state.
    void restart(std::size_t index) {
        router& one = *m_routers[index];
        if (!one.running) {
            start(one);
        }
    }
    void freeze(std::size_t index, base::duration period) {
        m_routers[index]->frozen_until = m_now + period;
    }
    void cut(std::size_t from, std::size_t to, bool is_cut) {
        if (is_cut) {
            m_cuts.insert({from, to});
        } else {
            m_cuts.erase({from, to});
        }
    }
    void set_rejected(std::size_t index, bool away) { m_routers[index]->rejected = away; }
    void owner_answers(bool answers) { m_owner_answers = answers; }
    void owner_delay(base::duration delay) { m_owner_delay = delay; }
    void heal() {
        m_cuts.clear();
        m_owner_answers = true;
        m_owner_delay = 4ms;
        for (std::size_t index = 0; index < size(); ++index) {
            set_rejected(index, false);
            m_routers[index]->frozen_until = m_now;
            restart(index);
        }
    }

    // ---- Checks ----

    std::uint64_t owner_calls() const { return m_owner_calls; }
    base::duration age(std::size_t index) const {
        const router& one = *m_routers[index];
        const auto& confirmed = one.copy->confirmed();
        return confirmed ? m_now - to_simulated_time(one, confirmed->as_of) : base::duration::max();
    }
    base::duration oldest() const {
        base::duration oldest{};
        for (std::size_t index = 0; index < size(); ++index) {
            oldest = std::max(oldest, age(index));
        }
        return oldest;
    }
    base::duration oldest_running() const {
        base::duration oldest{};
        for (std::size_t index = 0; index < size(); ++index) {
            oldest = m_routers[index]->running ? std::max(oldest, age(index)) : oldest;
        }
        return oldest;
    }
    /// @return the routers that read the owner if all routers take part.
    std::vector<std::size_t> readers_by_place() const {
        std::vector<std::size_t> found;
        for (const tree_member& one : readers_among(m_members, {})) {
            found.push_back(index_of(one.name));
        }
        return found;
    }
    std::size_t readers() const {
        std::size_t count = 0;
        for (const auto& one : m_routers) {
            count += one->sources->reads_owner() ? 1 : 0;
        }
        return count;
    }

  private:
    struct router {
        tree_member self;
        base::duration clock_offset{};
        std::unique_ptr<table_mirror> copy;
        std::unique_ptr<source_reachability> reach;
        std::unique_ptr<source_selector> sources;
        std::uint64_t process_number = 0;
        /// Number of the current call; answers to earlier calls are dropped.
        std::uint64_t call = 0;
        bool running = false;
        bool rejected = false;
        base::duration frozen_until{};
        std::uint64_t seen_version = 0;
    };
    struct event {
        base::duration at;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void after(base::duration delay, std::function<void()> act) {
        m_events.push({m_now + delay, m_number++, std::move(act)});
    }
    /// Runs `act` in a router's process: after a freeze if it is frozen, and not at all if the
    /// process has ended in the meantime.
    void in_process(router& one, base::duration delay, std::function<void()> act) {
        const std::uint64_t process_number = one.process_number;
        after(delay, [this, &one, process_number, act = std::move(act)] {
            if (!one.running || one.process_number != process_number) {
                return;
            }
            if (m_now < one.frozen_until) {
                in_process(one, one.frozen_until - m_now, act);
                return;
            }
            act();
        });
    }
    base::monotonic_time local(const router& one) const {
        return base::monotonic_time(m_now + one.clock_offset);
    }
    static base::duration to_simulated_time(const router& one, base::monotonic_time moment) {
        return moment.time_since_epoch() - one.clock_offset;
    }

    void start(router& one) {
        ++one.process_number;
        one.running = true;
        one.seen_version = 0;
        one.copy = std::make_unique<table_mirror>();
        one.reach = std::make_unique<source_reachability>(reachability_settings{}, m_random);
        one.sources =
            std::make_unique<source_selector>(one.self, selector_settings{}, *one.reach, m_random);
        one.sources->declare(m_members);
        in_process(one, base::duration(m_random.below(300'000'000)), [this, &one] { follow(one); });
    }

    void change_owner() {
        const std::string key = "k" + std::to_string(m_random.below(9));
        const std::uint64_t version = ++m_version;
        m_accepted_at[version] = m_now;
        if (m_random.below(4) == 0) {
            m_owner.change({key, "", version, true});
        } else {
            m_owner.change({key, std::to_string(version), version, false});
        }
        after(base::duration(m_random.below(200'000'000)), [this] { change_owner(); });
    }

    void follow(router& one) {
        const source from = one.sources->choose(local(one));
        const std::uint64_t call = ++one.call;
        const base::monotonic_time asked_at = local(one);
        const auto take = [this, &one, from, asked_at, call](std::optional<call_answer> answer) {
            if (one.call != call) {
                return;
            }
            ++one.call;
            take_answer(one, from, asked_at, answer);
        };
        const base::duration hold = from ? hold_of(one) : longest_hold;
        in_process(one, hold + call_margin, [take] { take(std::nullopt); });
        if (from) {
            ask_peer(one, *from, hold, take);
        } else {
            ask_owner(one, take);
        }
    }

    /// @return how long the peer may delay its answer. As in the router, a call ends about when the
    /// copy becomes stale.
    base::duration hold_of(const router& one) const {
        const base::duration left = selector_settings{}.max_copy_age - age(index_of(one.self.name));
        return left < 0ms ? 0ms : std::clamp(left - call_margin, shortest_hold, longest_hold);
    }

    void ask_owner(router& one, std::function<void(std::optional<call_answer>)> take) {
        ++m_owner_calls;
        const std::uint64_t after_version = one.copy->version();
        after(m_owner_delay / 2, [this, &one, after_version, take = std::move(take)] {
            if (!m_owner_answers) {
                return;  // The owner doesn't answer.
            }
            std::optional<call_answer> answer;
            if (!one.rejected) {
                answer = call_answer{
                    m_owner.changes_after(after_version), m_owner.rows(), m_version, {}};
            }
            in_process(one, m_owner_delay / 2, [take, answer] { take(answer); });
        });
    }

    void ask_peer(router& one, const base::router_name& name, base::duration hold,
                  std::function<void(std::optional<call_answer>)> take) {
        const std::size_t to = index_of(name);
        const std::size_t from = index_of(one.self.name);
        router& other = *m_routers[to];
        if (m_cuts.contains({from, to})) {
            return;
        }
        const std::uint64_t after_version = one.copy->version();
        in_process(other, network_delay(),
                   [this, &one, &other, from, to, after_version, hold, take] {
                       const base::monotonic_time received_at = local(other);
                       const bool at_once = other.copy->has_changes_after(after_version);
                       in_process(other, at_once ? base::duration{} : hold,
                                  [this, &one, &other, from, to, after_version, received_at, take] {
                                      answer_peer(one, other, received_at, after_version,
                                                  m_cuts.contains({to, from}), take);
                                  });
                   });
    }

    void answer_peer(router& one, router& other, base::monotonic_time received_at,
                     std::uint64_t after_version, bool lost,
                     std::function<void(std::optional<call_answer>)> take) {
        const auto& confirmed = other.copy->confirmed();
        std::optional<call_answer> answer;
        if (confirmed) {
            answer = call_answer{other.copy->changes_after(after_version), other.copy->rows(),
                                 confirmed->version, confirmed->as_of - received_at};
        }
        if (!lost) {
            in_process(one, network_delay(), [take, answer] { take(answer); });
        }
    }

    void take_answer(router& one, const source& from, base::monotonic_time asked_at,
                     const std::optional<call_answer>& answer) {
        const base::monotonic_time now = local(one);
        if (!answer) {
            one.sources->failed(from, now);
            in_process(one, retry, [this, &one] { follow(one); });
            return;
        }
        const base::monotonic_time as_of = std::min(asked_at + answer->confirmed_after, now);
        one.sources->answered(from, as_of, now);
        if (answer->version >= one.copy->version()) {
            if (answer->changes) {
                for (const record& row : *answer->changes) {
                    one.copy->change(row);
                }
            } else {
                one.copy->replace(answer->rows, answer->version);
            }
        }
        one.copy->confirm({std::max(answer->version, one.copy->version()), as_of, {}});
        check(one);
        const bool is_old = age(index_of(one.self.name)) > selector_settings{}.max_copy_age;
        in_process(one, from ? (is_old ? 150ms : 20ms) : pace, [this, &one] { follow(one); });
    }

    void check(router& one) {
        const confirmation& believed = *one.copy->confirmed();
        cr_assert_geq(believed.version, one.seen_version, "a version decreased");
        one.seen_version = believed.version;
        const base::duration as_of = to_simulated_time(one, believed.as_of);
        auto newest = m_accepted_at.lower_bound(believed.version + 1);
        const bool misses = newest != m_accepted_at.end() && newest->second < as_of;
        cr_assert(!misses, "a copy was taken to be newer than it is");
    }

    static std::size_t index_of(const base::router_name& name) {
        return std::stoul(name.value.substr(1));
    }
    base::duration network_delay() { return 1ms + base::duration(m_random.below(2'000'000)); }

    base::seeded_random m_random;
    std::vector<tree_member> m_members;
    std::vector<std::unique_ptr<router>> m_routers;
    std::priority_queue<event> m_events;
    std::uint64_t m_number = 0;
    base::duration m_now{};
    table_mirror m_owner;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, base::duration> m_accepted_at;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    bool m_owner_answers = true;
    base::duration m_owner_delay = 4ms;
    std::uint64_t m_owner_calls = 0;
};

void expect_sound(fleet& all) {
    cr_assert_leq(all.oldest().count(), base::duration(2500ms).count());
    cr_assert_leq(all.readers(), 2);
}

}  // namespace

Test(reading_simulation, calls_to_the_owner_do_not_grow_with_the_fleet) {
    std::vector<std::uint64_t> calls;
    for (const std::size_t routers : {8U, 70U, 370U}) {
        fleet all(routers, 4, 1);
        all.run_for(5s);
        const std::uint64_t before = all.owner_calls();
        all.run_for(10s);
        calls.push_back(all.owner_calls() - before);
        expect_sound(all);
    }
    cr_assert_eq(calls[0], calls[1]);
    cr_assert_eq(calls[1], calls[2]);
}

Test(reading_simulation, a_store_that_any_router_reaches_keeps_all_copies_current) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet all(24, 4, seed);
        all.run_for(5s);
        for (std::size_t index = 0; index < all.size(); ++index) {
            all.set_rejected(index, all.random().below(3) != 0);
        }
        all.set_rejected(all.random().below(all.size()), false);
        all.run_for(8s);
        cr_assert_leq(all.oldest().count(), base::duration(2900ms).count(), "seed %lu",
                      static_cast<unsigned long>(seed));
        all.heal();
        all.run_for(25s);
        expect_sound(all);
    }
}

Test(reading_simulation, an_outage_makes_no_copy_newer_and_copies_recover_soon) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet all(70, 4, seed);
        all.run_for(5s);
        all.owner_answers(false);
        const std::uint64_t before = all.owner_calls();
        all.run_for(10s);
        cr_assert_geq(all.age(0).count(), base::duration(10s).count());
        // Fewer calls than if each router asked for itself, about 2 calls a second each.
        cr_assert_leq(all.owner_calls() - before, 70 * 10);
        all.owner_answers(true);
        all.run_for(3s);
        cr_assert_leq(all.oldest().count(), base::duration(2900ms).count());
    }
}

Test(reading_simulation, losing_all_readers_at_once_causes_a_bounded_burst) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet all(70, 4, seed);
        all.run_for(5s);
        for (const std::size_t reader : all.readers_by_place()) {
            all.stop(reader);
        }
        const std::uint64_t before = all.owner_calls();
        all.run_for(4s);
        // The routers below the readers read the owner for about 3 s, twice a second each.
        cr_assert_leq(all.owner_calls() - before, 300);
        cr_assert_leq(all.oldest_running().count(), base::duration(2500ms).count());
        all.heal();
        all.run_for(25s);
        expect_sound(all);
    }
}

Test(reading_simulation, both_sides_of_a_partition_stay_current) {
    fleet all(16, 2, 3);
    all.run_for(5s);
    for (std::size_t a = 0; a < 8; ++a) {
        for (std::size_t b = 8; b < 16; ++b) {
            all.cut(a, b, true);
            all.cut(b, a, true);
        }
    }
    all.run_for(6s);
    cr_assert_leq(all.oldest().count(), base::duration(2900ms).count());
}

Test(reading_simulation, invariants_hold_under_random_faults) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        fleet all(6 + seed % 30, 1 + seed % 4, seed);
        all.run_for(3s);
        for (int fault = 0; fault < 25; ++fault) {
            const std::size_t one = all.random().below(all.size());
            const std::size_t other = all.random().below(all.size());
            switch (all.random().below(9)) {
                case 0:
                    all.stop(one);
                    break;
                case 1:
                    all.restart(one);
                    break;
                case 2:
                    all.freeze(one, base::duration(all.random().below(4'000'000'000)));
                    break;
                case 3:
                    all.cut(one, other, true);
                    break;
                case 4:
                    all.cut(one, other, false);
                    break;
                case 5:
                    all.set_rejected(one, true);
                    break;
                case 6:
                    all.set_rejected(one, false);
                    break;
                case 7:
                    all.owner_answers(all.random().below(3) != 0);
                    break;
                default:
                    all.owner_delay(base::duration(all.random().below(1'500'000'000)));
            }
            all.run_for(base::duration(all.random().below(900'000'000)));
        }
        all.heal();
        all.run_for(25s);
        expect_sound(all);
    }
}

namespace {

enum class rejected { readers_only, readers_and_a_third };

/// @return number of calls to the owner within 9 s after it began to reject routers.
std::uint64_t calls_while_rejected(std::size_t routers, rejected who) {
    constexpr base::duration period = 9s;
    fleet all(routers, 5, 7);
    all.run_for(4s);
    const std::uint64_t before = all.owner_calls();
    if (who == rejected::readers_and_a_third) {
        for (std::size_t index = 0; index < routers; ++index) {
            all.set_rejected(index, all.random().below(3) == 0);
        }
    }
    for (const std::size_t reader : all.readers_by_place()) {
        all.set_rejected(reader, true);
    }
    all.run_for(period);
    cr_assert_leq(all.oldest_running().count(), base::duration(2900ms).count());
    return all.owner_calls() - before;
}

}  // namespace

/// Load pattern: the owner rejects its readers, and without a limit each router below them would
/// ask the owner itself.
Test(reading_simulation, fallback_readers_are_few_in_any_fleet) {
    const selector_settings settings;
    // The fallback readers chosen by rank and about as many chosen at random, each at the pace of a
    // reader.
    const std::uint64_t bound = 2 * settings.fallback_readers * (9s / pace);
    for (const rejected who : {rejected::readers_only, rejected::readers_and_a_third}) {
        for (const std::size_t routers : {79U, 985U}) {
            cr_assert_leq(calls_while_rejected(routers, who), bound, "%zu routers", routers);
        }
    }
}

/// Load pattern: 7 in 100 machines lose power, among them the sources of many others.
Test(reading_simulation, routers_whose_source_fails_use_another_router) {
    fleet all(985, 5, 7);
    all.run_for(4s);
    std::uint64_t before = all.owner_calls();
    all.run_for(9s);
    const std::uint64_t calm = all.owner_calls() - before;
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (all.random().below(100) < 7) {
            all.stop(index);
        }
    }
    before = all.owner_calls();
    all.run_for(9s);
    // Each fallback reader asks at most three times.
    const selector_settings settings;
    cr_assert_leq(all.owner_calls() - before, calm + 3 * settings.fallback_readers);
    cr_assert_leq(all.oldest_running().count(), base::duration(2900ms).count());
}
