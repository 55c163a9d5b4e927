/// Guards against a rollout that stalls when orders get no answer. If engines leave eight to nine
/// of ten orders unanswered and carry them out 2 to 12 s later, and each engine with an unanswered
/// order keeps its place among the few that load at once and is ordered again each second, then 44
/// of 46 orders are unanswered, one engine gets nine, and only ten of 18 engines have been ordered
/// at all after the 8 s within which requests may start on older weights. Without faults all 18 are
/// ordered within 6 s. An engine that may have lost its order must therefore not take the place of
/// one that has had none, but not all engines may start to load at the same moment either.
#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::coordination::rollout;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
constexpr base::duration step_period = 50ms;
constexpr base::duration load_time = 700ms;
/// Timeout of an order that is never answered.
constexpr base::duration call_limit = 700ms;
const std::string model = "m";
const rollout_tunables tunables;

struct late_order {
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;
    base::monotonic_time due{};
};

/// An engine that may carry out orders late; their expectation is checked when they are carried
/// out.
struct late_engine {
    std::uint64_t version = 1;
    std::uint64_t orders_taken = 0;
    std::uint64_t loads = 0;
    std::uint64_t loading = 0;  ///< Version being loaded; 0 if none.
    base::monotonic_time loaded_at{};
    std::vector<late_order> late;

    order_answer take(std::uint64_t wanted, std::uint64_t expected, base::monotonic_time now) {
        if (loading != 0 || expected != orders_taken) {
            return order_answer::refused;
        }
        ++orders_taken;
        ++loads;
        loading = wanted;
        loaded_at = now + load_time;
        return order_answer::accepted;
    }
    void settle(base::monotonic_time now) {
        if (loading != 0 && now >= loaded_at) {
            version = loading;
            loading = 0;
        }
        for (const late_order& one : late) {
            if (now >= one.due) {
                take(one.version, one.expected_orders, now);
            }
        }
        std::erase_if(late, [&](const late_order& one) { return now >= one.due; });
    }
    /// @return whether the engine is loading or may start to load at any time.
    bool may_load() const {
        const bool passes = std::any_of(late.begin(), late.end(), [&](const late_order& one) {
            return one.expected_orders == orders_taken;
        });
        return loading != 0 || passes;
    }
};

struct late_fleet {
    late_fleet(std::size_t size, double unanswered, std::uint64_t seed)
        : unanswered(unanswered), random(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            engines[base::engine_name("e" + std::to_string(index))] = {};
        }
        rollout.want(model, 2);
    }

    std::vector<engine_view> views() const {
        std::vector<engine_view> seen;
        for (const auto& [name, engine] : engines) {
            seen.push_back({name, model, engine.version, 0, now - start});
        }
        return seen;
    }
    void order(const send_order& wanted) {
        first_order.try_emplace(wanted.engine, now - start);
        ++orders;
        late_engine& engine = engines.at(wanted.engine);
        if (random.unit() >= unanswered) {
            rollout.ordered(wanted.engine, engine.take(wanted.version, wanted.expected_orders, now),
                            now);
            return;
        }
        const base::duration delay =
            carried_out ? 2s + base::from_seconds(random.unit() * 10) : base::duration(1h);
        engine.late.push_back({wanted.version, wanted.expected_orders, now + delay});
        unanswered_until[wanted.engine] = now + call_limit;
    }
    void step() {
        for (auto& [name, engine] : engines) {
            engine.settle(now);
        }
        for (auto& [name, until] : std::map(unanswered_until)) {
            if (now >= until) {
                unanswered_until.erase(name);
                rollout.ordered(name, order_answer::lost, now);
            }
        }
        const auto steps = rollout.next(views(), now);
        for (const auto& wanted : steps.reports) {
            const late_engine& engine = engines.at(wanted.engine);
            rollout.reported(wanted.engine,
                             {engine.version, engine.orders_taken, engine.loading != 0}, now);
        }
        for (const auto& wanted : steps.orders) {
            order(wanted);
        }
        most_loading =
            std::max(most_loading, count([](const auto& one) { return one.loading != 0; }));
        now += step_period;
    }
    void run_until(
        base::duration after, const std::function<void()>& look = [] {}) {
        while (now < start + after) {
            step();
            look();
        }
    }
    std::size_t count(const std::function<bool(const late_engine&)>& counts) const {
        return static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(),
                          [&](const auto& entry) { return counts(entry.second); }));
    }
    std::size_t may_load() const {
        return count([](const late_engine& one) { return one.may_load(); });
    }
    /// @return the time until the last engine got its first order.
    base::duration all_ordered() const {
        base::duration last{};
        for (const auto& [name, after] : first_order) {
            last = std::max(last, after);
        }
        return first_order.size() == engines.size() ? last : base::duration::max();
    }

    double unanswered;
    bool carried_out = true;  ///< Whether unanswered orders are carried out, late.
    base::seeded_random random;
    weights_rollout rollout{tunables};
    base::monotonic_time now = start;
    std::map<base::engine_name, late_engine> engines;
    std::map<base::engine_name, base::monotonic_time> unanswered_until;
    std::map<base::engine_name, base::duration> first_order;
    std::size_t most_loading = 0;
    std::size_t orders = 0;
};

constexpr std::uint64_t seeds = 20;

}  // namespace

Test(unanswered_orders, every_engine_gets_its_first_order_in_time) {
    // The last engines may still wait for a call and a report of those before them.
    const base::duration bound = tunables.order_within + 1s;
    for (const std::size_t size : {1U, 2U, 3U, 7U, 18U, 300U}) {
        for (const double unanswered : {0.5, 0.8, 0.9, 1.0}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                late_fleet fleet(size, unanswered, seed);
                fleet.run_until(bound + step_period);
                cr_assert_leq(base::to_seconds(fleet.all_ordered()), base::to_seconds(bound),
                              "%zu engines, %.1f unanswered, seed %lu", size, unanswered, seed);
            }
        }
    }
}

Test(unanswered_orders, an_engine_with_an_unanswered_order_takes_no_place) {
    late_fleet fleet(18, 1.0, 1);
    fleet.run_until(step_period * 3);
    const std::size_t at_once = fleet.first_order.size();
    fleet.run_until(call_limit + step_period * 6);
    cr_assert_eq(at_once, 3);
    cr_assert_eq(fleet.first_order.size(), 2 * at_once);
}

Test(unanswered_orders, not_all_engines_load_if_all_orders_are_carried_out_together) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        late_fleet fleet(18, 1.0, seed);
        fleet.run_until(tunables.order_within / 2, [&] {
            cr_assert_leq(fleet.may_load(), 12, "two thirds in half the time");
        });
        fleet.run_until(tunables.order_within - step_period, [&] {
            cr_assert_lt(fleet.may_load(), 18, "never all while time is left");
        });
    }
}

Test(unanswered_orders, no_more_engines_load_at_once_than_without_faults) {
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        late_fleet fleet(18, 0.9, seed);
        fleet.run_until(20s);
        most = std::max(most, fleet.most_loading);
    }
    cr_assert_leq(most, 6, "%zu of 18 loaded at once", most);
}

Test(unanswered_orders, the_load_limit_holds_when_orders_are_answered_again) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        late_fleet fleet(18, 1.0, seed);
        fleet.carried_out = false;
        fleet.run_until(tunables.order_within + 1s);
        cr_assert_eq(fleet.most_loading, 0);
        for (auto& [name, engine] : fleet.engines) {
            engine.late.clear();
        }
        fleet.unanswered = 0;
        fleet.run_until(20s);
        cr_assert_leq(fleet.most_loading, 6);
        cr_assert_eq(fleet.count([](const late_engine& one) { return one.version == 2; }), 18);
    }
}

Test(unanswered_orders, each_engine_loads_once_however_often_it_is_ordered) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        late_fleet fleet(18, 0.9, seed);
        fleet.run_until(30s);
        for (const auto& [name, engine] : fleet.engines) {
            cr_assert_eq(engine.version, 2);
            cr_assert_eq(engine.loads, 1);
        }
    }
}

Test(unanswered_orders, orders_are_repeated_no_more_than_once_a_second) {
    late_fleet fleet(18, 1.0, 1);
    fleet.run_until(4s);
    cr_assert_leq(fleet.orders, 72U, "%zu orders in 4 s", fleet.orders);
}

Test(unanswered_orders, an_engine_with_an_unanswered_order_serves_until_a_report_shows_it_loading) {
    weights_rollout rollout;
    const base::engine_name name("e0");
    const std::vector<engine_view> seen = {{name, model, 1, 0}};
    rollout.want(model, 2);
    cr_assert_eq(rollout.next(seen, start).upcoming.size(), 1);
    rollout.reported(name, {1, 0, false}, start);
    cr_assert_eq(rollout.next(seen, start).orders.size(), 1);
    rollout.ordered(name, order_answer::lost, start + 700ms);
    const auto asked = rollout.next(seen, start + 1s);
    cr_assert_eq(asked.reports.size(), 1);
    cr_assert(asked.upcoming.empty());
    rollout.reported(name, {1, 0, false}, start + 1s);
    const auto again = rollout.next(seen, start + 1s);
    cr_assert_eq(again.orders.size(), 1);
    cr_assert_eq(again.orders[0].expected_orders, 0);
    cr_assert(again.upcoming.empty());
    rollout.ordered(name, order_answer::accepted, start + 1s);
    cr_assert_eq(rollout.next(seen, start + 1s).upcoming.size(), 1);
    cr_assert(rollout.next(seen, start + 1s).upcoming.empty());
}

Test(unanswered_orders, a_late_order_counts_as_loading_once_a_report_shows_it) {
    late_fleet fleet(18, 1.0, 1);
    fleet.carried_out = false;
    fleet.run_until(1s);
    const std::size_t before = fleet.first_order.size();
    for (const auto& [name, after] : fleet.first_order) {
        fleet.rollout.reported(name, {1, 1, true}, fleet.now);
    }
    const auto steps = fleet.rollout.next(fleet.views(), fleet.now);
    cr_assert_geq(before, 3);
    cr_assert(steps.orders.empty());
    cr_assert(steps.reports.empty());
}

Test(unanswered_orders, engines_without_an_order_are_counted) {
    late_fleet fleet(18, 1.0, 1);
    fleet.carried_out = false;
    cr_assert_eq(fleet.rollout.without_order(model, fleet.views()), 18);
    fleet.run_until(3s);
    cr_assert_eq(fleet.rollout.without_order(model, fleet.views()), 18 - fleet.first_order.size());
    fleet.run_until(tunables.order_within + 1s);
    cr_assert_eq(fleet.rollout.without_order(model, fleet.views()), 0);
    fleet.rollout.want(model, 3);
    cr_assert_eq(fleet.rollout.without_order(model, fleet.views()), 18);
    cr_assert_eq(fleet.rollout.without_order("another", fleet.views()), 0);
}
