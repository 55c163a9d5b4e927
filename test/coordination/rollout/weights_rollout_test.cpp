/// Tests of the rollout: it brings every engine to the newest weights, a few at a time, even if
/// answers are lost, and never sends a second order while an earlier one with the same expectation
/// may still be carried out.
#include "ferryroad/coordination/rollout/weights_rollout.hpp"

#include "ferryroad/base/random.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::coordination::rollout;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{100s};
const std::string model = "m";

/// An engine that handles orders like the platform's engines.
struct simulated_engine {
    std::uint64_t version = 1;
    std::uint64_t orders_taken = 0;
    std::uint64_t loading = 0;  ///< Version being loaded; 0 if none.
    base::monotonic_time loaded_at{};
    std::uint64_t loads = 0;

    void settle(base::monotonic_time now) {
        if (loading != 0 && now >= loaded_at) {
            version = loading;
            loading = 0;
        }
    }
    order_answer take(const send_order& order, base::duration load_time, base::monotonic_time now) {
        settle(now);
        if (loading != 0 || order.expected_orders != orders_taken) {
            return order_answer::refused;
        }
        ++orders_taken;
        ++loads;
        loading = order.version;
        loaded_at = now + load_time;
        return order_answer::accepted;
    }
};

struct fleet {
    fleet(std::size_t size, std::uint64_t seed) : random(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            engines[base::engine_name("e" + std::to_string(index))] = {};
        }
    }

    std::vector<engine_view> views() const {
        std::vector<engine_view> seen;
        for (const auto& [name, engine] : engines) {
            seen.push_back(
                {name, model, listed.contains(name) ? listed.at(name) : 1, 0, now - start});
        }
        return seen;
    }

    /// Runs one step of the rollout, with answers lost in a fraction `loss` of the calls.
    void step(weights_rollout& rollout, double loss) {
        for (auto& [name, engine] : engines) {
            engine.settle(now);
        }
        const auto steps = rollout.next(views(), now);
        for (const auto& wanted : steps.reports) {
            simulated_engine& engine = engines[wanted.engine];
            if (random.unit() < loss) {
                rollout.report_lost(wanted.engine, now);
                continue;
            }
            listed[wanted.engine] = engine.version;
            rollout.reported(wanted.engine,
                             {engine.version, engine.orders_taken, engine.loading != 0}, now);
        }
        for (const auto& wanted : steps.orders) {
            const auto answer = engines[wanted.engine].take(wanted, load_time, now);
            const bool lost = random.unit() < loss;
            rollout.ordered(wanted.engine, lost ? order_answer::lost : answer, now);
        }
        const auto loading = std::count_if(engines.begin(), engines.end(), [](const auto& entry) {
            return entry.second.loading != 0;
        });
        most_loading = std::max<std::size_t>(most_loading, static_cast<std::size_t>(loading));
        now += 50ms;
    }

    bool all_at(std::uint64_t version) const {
        return std::all_of(engines.begin(), engines.end(),
                           [&](const auto& entry) { return entry.second.version == version; });
    }

    base::seeded_random random;
    base::monotonic_time now = start;
    std::map<base::engine_name, simulated_engine> engines;
    std::map<base::engine_name, std::uint64_t> listed;
    std::size_t most_loading = 0;
    base::duration load_time = 700ms;
};

}  // namespace

Test(weights_rollout, orders_nothing_if_no_weights_are_named) {
    fleet engines(3, 1);
    weights_rollout rollout;
    const auto steps = rollout.next(engines.views(), start);
    cr_assert(steps.reports.empty());
    cr_assert(steps.orders.empty());
}

Test(weights_rollout, asks_an_engine_before_it_orders) {
    fleet engines(1, 1);
    weights_rollout rollout;
    rollout.want(model, 2);
    const auto first = rollout.next(engines.views(), start);
    cr_assert_eq(first.reports.size(), 1);
    cr_assert(first.orders.empty());
    cr_assert(rollout.next(engines.views(), start).reports.empty());
    rollout.reported(base::engine_name("e0"), {1, 3, false}, start);
    const auto second = rollout.next(engines.views(), start);
    cr_assert_eq(second.orders.size(), 1);
    const struct send_order expected { base::engine_name("e0"), model, 2, 3 };
    cr_assert(second.orders[0] == expected);
}

Test(weights_rollout, brings_all_engines_to_the_newest_weights_a_few_at_a_time) {
    fleet engines(12, 1);
    weights_rollout rollout;
    rollout.want(model, 2);
    for (int index = 0; index < 200 && !engines.all_at(2); ++index) {
        engines.step(rollout, 0);
    }
    cr_assert(engines.all_at(2));
    cr_assert_leq(engines.most_loading, 2);
    for (const auto& [name, engine] : engines.engines) {
        cr_assert_eq(engine.loads, 1);
    }
}

Test(weights_rollout, a_fleet_of_any_size_is_ordered_in_time) {
    for (const std::size_t size : {1U, 3U, 7U, 8U, 11U, 18U, 300U, 1200U}) {
        fleet engines(size, 1);
        weights_rollout rollout;
        rollout.want(model, 2);
        while (!engines.all_at(2) && engines.now < start + 60s) {
            engines.step(rollout, 0);
        }
        cr_assert_leq(base::to_seconds(engines.now - start), 8.0, "%zu engines", size);
    }
}

Test(weights_rollout, more_engines_load_at_once_if_loads_are_slow) {
    fleet engines(12, 1);
    engines.load_time = 1800ms;
    weights_rollout rollout;
    rollout.want(model, 2);
    while (!engines.all_at(2) && engines.now < start + 60s) {
        engines.step(rollout, 0);
    }
    cr_assert_eq(engines.most_loading, 4);
    cr_assert_leq(base::to_seconds(engines.now - start), 9.5);
}

Test(weights_rollout, intermediate_versions_are_skipped) {
    fleet engines(12, 1);
    weights_rollout rollout;
    rollout.want(model, 2);
    engines.step(rollout, 0);
    rollout.want(model, 3);
    rollout.want(model, 2);
    for (int index = 0; index < 400 && !engines.all_at(3); ++index) {
        engines.step(rollout, 0);
    }
    cr_assert(engines.all_at(3));
    std::uint64_t loads = 0;
    for (const auto& [name, engine] : engines.engines) {
        loads += engine.loads;
    }
    cr_assert_leq(loads, 16, "%lu loads for 12 engines", loads);
}

Test(weights_rollout, the_oldest_weights_go_first) {
    weights_rollout rollout;
    rollout.want(model, 3);
    std::vector<engine_view> seen;
    for (int index = 0; index < 6; ++index) {
        const std::uint64_t version = index < 3 ? 2 : 1;
        seen.push_back({base::engine_name("e" + std::to_string(index)), model, version, 0});
    }
    for (const auto& wanted : rollout.next(seen, start).reports) {
        cr_assert(wanted.engine >= base::engine_name("e3"));
    }
}

Test(weights_rollout, the_least_loaded_goes_first_while_there_is_time) {
    weights_rollout rollout;
    rollout.want(model, 2);
    const std::vector<engine_view> seen = {{base::engine_name("busy"), model, 1, 9, {}, {}, 40000},
                                           {base::engine_name("idle"), model, 1, 0, {}, {}, 0}};
    const auto steps = rollout.next(seen, start);
    cr_assert_eq(steps.reports.size(), 1);
    cr_assert(steps.reports[0].engine == base::engine_name("idle"));
}

Test(weights_rollout, the_longest_queue_goes_first_if_time_is_short) {
    weights_rollout rollout;
    rollout.want(model, 2);
    std::vector<engine_view> seen;
    for (std::uint64_t index = 0; index < 18; ++index) {
        const base::engine_name name("e" + std::to_string(100 + index));
        seen.push_back({name, model, 1, 0, 5500ms, {}, index * 1000});
    }
    const auto steps = rollout.next(seen, start);
    cr_assert_eq(steps.reports.size(), 6);
    for (const auto& wanted : steps.reports) {
        cr_assert(wanted.engine >= base::engine_name("e112"));
    }
}

Test(weights_rollout, engines_of_all_zones_are_ordered_evenly) {
    weights_rollout rollout;
    rollout.want(model, 2);
    std::vector<engine_view> seen;
    std::map<base::engine_name, base::zone_name> zone_of;
    for (int index = 0; index < 24; ++index) {
        const base::engine_name name("e" + std::to_string(100 + index));
        zone_of[name] = base::zone_name("z" + std::to_string(index / 6));
        seen.push_back({name, model, 1, 0, {}, zone_of[name]});
    }
    std::map<base::zone_name, int> begun;
    for (const auto& wanted : rollout.next(seen, start).reports) {
        ++begun[zone_of[wanted.engine]];
    }
    cr_assert_eq(begun.size(), 4);
    for (const auto& [zone, engines] : begun) {
        cr_assert_eq(engines, 1);
    }
}

Test(weights_rollout, an_engine_that_left_is_dropped) {
    fleet engines(1, 1);
    weights_rollout rollout;
    rollout.want(model, 2);
    rollout.next(engines.views(), start);
    cr_assert(rollout.under_way(base::engine_name("e0")));
    rollout.next({}, start);
    cr_assert_not(rollout.under_way(base::engine_name("e0")));
    rollout.reported(base::engine_name("e0"), {1, 0, false}, start);
}

Test(weights_rollout, an_unresponsive_engine_frees_its_place) {
    weights_rollout rollout;
    rollout.want(model, 2);
    const std::vector<engine_view> seen = {{base::engine_name("e0"), model, 1, 0},
                                           {base::engine_name("e1"), model, 1, 1}};
    cr_assert(rollout.next(seen, start).reports[0].engine == base::engine_name("e0"));
    rollout.report_lost(base::engine_name("e0"), start);
    rollout.next(seen, start + 7s);
    cr_assert(rollout.under_way(base::engine_name("e0")) !=
              rollout.under_way(base::engine_name("e1")));
}

Test(weights_rollout, lost_answers_delay_but_never_stop_the_rollout) {
    const bool held = rc::check("lost answers", [](std::uint64_t seed) {
        fleet engines(1 + seed % 13, seed);
        weights_rollout rollout;
        rollout.want(model, 2 + seed % 5);
        for (int index = 0; index < 4000 && !engines.all_at(2 + seed % 5); ++index) {
            engines.step(rollout, 0.3);
        }
        RC_ASSERT(engines.all_at(2 + seed % 5));
        for (const auto& [name, engine] : engines.engines) {
            RC_ASSERT(engine.loads == 1U);
        }
    });
    cr_assert(held);
}

namespace {

/// An engine that has several models and carries out one order at a time.
struct engine_with_models {
    std::map<std::string, std::uint64_t> versions;
    std::set<std::string> ignored;  ///< Orders for these models are accepted and have no effect.
    std::uint64_t orders_taken = 0;
    std::optional<send_order> loading;
    base::monotonic_time loaded_at{};

    order_answer take(const send_order& order, base::monotonic_time now) {
        if (loading || order.expected_orders != orders_taken) {
            return order_answer::refused;
        }
        ++orders_taken;
        if (!ignored.contains(order.model)) {
            loading = order;
            loaded_at = now + 700ms;
        }
        return order_answer::accepted;
    }
    void settle(base::monotonic_time now) {
        if (loading && now >= loaded_at) {
            versions[loading->model] = loading->version;
            loading.reset();
        }
    }
};

struct fleet_with_models {
    explicit fleet_with_models(std::size_t size) {
        for (std::size_t index = 0; index < size; ++index) {
            engines[base::engine_name("e" + std::to_string(index))].versions = {{"a", 1}, {"b", 7}};
        }
    }

    void want(const std::string& named, std::uint64_t version) {
        rollout.want(named, version);
        named_at[named] = now;
    }

    /// Runs the rollout for a time, and checks that engines get no orders while they carry one out.
    void run_for(base::duration time) {
        for (const base::monotonic_time end = now + time; now < end; now += 50ms) {
            std::vector<engine_view> views;
            for (auto& [name, engine] : engines) {
                engine.settle(now);
                for (const auto& [known, version] : engine.versions) {
                    const bool outdated = version < rollout.wanted(known);
                    views.push_back({name, known, version, 0,
                                     outdated ? now - named_at[known] : base::duration{}});
                }
            }
            const auto steps = rollout.next(views, now);
            for (const auto& wanted : steps.reports) {
                const engine_with_models& engine = engines[wanted.engine];
                rollout.reported(wanted.engine,
                                 {engine.versions.at(wanted.model), engine.orders_taken,
                                  engine.loading.has_value()},
                                 now);
            }
            for (const auto& wanted : steps.orders) {
                const auto answer = engines[wanted.engine].take(wanted, now);
                const bool lost = lost_answers > 0;
                lost_answers -= lost ? 1 : 0;
                rollout.ordered(wanted.engine, lost ? order_answer::lost : answer, now);
            }
        }
    }

    std::size_t count(const std::string& of, std::uint64_t version) const {
        return static_cast<std::size_t>(std::count_if(
            engines.begin(), engines.end(),
            [&](const auto& entry) { return entry.second.versions.at(of) == version; }));
    }

    base::monotonic_time now = start;
    std::map<base::engine_name, engine_with_models> engines;
    std::map<std::string, base::monotonic_time> named_at;
    std::size_t lost_answers = 0;  ///< Of the next orders, which are carried out all the same.
    weights_rollout rollout;
};

}  // namespace

// Guards against engines of which only the first model was ever brought to newer weights.
Test(weights_rollout, every_model_of_an_engine_is_brought_to_its_newest_weights) {
    fleet_with_models fleet(4);
    fleet.want("a", 2);
    fleet.run_for(8s);
    fleet.want("b", 8);
    fleet.run_for(8s);
    cr_assert_eq(fleet.count("a", 2), 4);
    cr_assert_eq(fleet.count("b", 8), 4);
}

Test(weights_rollout, models_that_are_named_at_once_are_loaded_one_after_the_other) {
    fleet_with_models fleet(4);
    fleet.want("a", 2);
    fleet.want("b", 8);
    fleet.run_for(12s);
    cr_assert_eq(fleet.count("a", 2), 4);
    cr_assert_eq(fleet.count("b", 8), 4);
    for (const auto& [name, engine] : fleet.engines) {
        cr_assert_eq(engine.orders_taken, 2, "one order for each model");
    }
}

// A model that is named again and again must not keep the engine from loading another one.
Test(weights_rollout, a_model_that_is_named_often_does_not_delay_another_one) {
    fleet_with_models fleet(2);
    fleet.want("b", 8);
    for (std::uint64_t version = 2; version < 12; ++version) {
        fleet.want("a", version);
        fleet.run_for(500ms);
    }
    cr_assert_eq(fleet.count("b", 8), 2);
}

// A model that never reports its new weights must not keep the engine from loading another one.
Test(weights_rollout, a_model_that_is_never_loaded_does_not_keep_another_one_from_loading) {
    fleet_with_models fleet(2);
    for (auto& [name, engine] : fleet.engines) {
        engine.ignored = {"a"};
    }
    fleet.want("a", 2);
    fleet.run_for(100ms);
    fleet.want("b", 8);
    fleet.run_for(20s);
    cr_assert_eq(fleet.count("a", 1), 2);
    cr_assert_eq(fleet.count("b", 8), 2);
}

namespace {

/// Runs the rollout of one engine whose report is answered at once. @return its order, if any.
std::optional<send_order> order_of(weights_rollout& rollout, const engine_view& seen,
                                   base::monotonic_time now) {
    std::optional<send_order> sent;
    for (int step = 0; step < 3; ++step) {
        const auto steps = rollout.next({seen}, now);
        for (const auto& wanted : steps.reports) {
            rollout.reported(wanted.engine, {seen.version, 0, false}, now);
        }
        if (!steps.orders.empty()) {
            sent = steps.orders.front();
        }
    }
    return sent;
}

}  // namespace

// Guards against an engine that loads newer weights while it runs a request that goes on to store
// state under the name of the older ones.
Test(weights_rollout, an_engine_is_not_ordered_while_it_runs_writers_that_cannot_be_moved) {
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view seen{base::engine_name("e0"), model, 1};
    seen.pinned_writers = 1;
    cr_assert_not(order_of(rollout, seen, start).has_value());
    cr_assert_not(rollout.under_way(seen.name), "its load is not announced either");
    seen.pinned_writers = 0;
    const auto sent = order_of(rollout, seen, start + 50ms);
    cr_assert(sent.has_value());
}

Test(weights_rollout, a_writer_that_is_reported_late_delays_the_order) {
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view seen{base::engine_name("e0"), model, 1};
    const auto asked = rollout.next({seen}, start);
    cr_assert_eq(asked.reports.size(), 1);
    rollout.reported(seen.name, {1, 0, false}, start);
    seen.pinned_writers = 1;
    cr_assert(rollout.next({seen}, start + 50ms).orders.empty());
    seen.pinned_writers = 0;
    cr_assert_eq(rollout.next({seen}, start + 100ms).orders.size(), 1);
}

Test(weights_rollout, an_engine_whose_writers_run_for_long_is_ordered_all_the_same) {
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view seen{base::engine_name("e0"), model, 1};
    seen.pinned_writers = 1;
    seen.outdated_for = rollout_tunables{}.longest_writer_wait;
    cr_assert(order_of(rollout, seen, start).has_value());
}

// Guards against an engine that loads newer weights while a request that stores state may still run
// there, also if its router gave it up.
Test(weights_rollout, an_engine_with_storing_requests_waits_and_then_drains_first) {
    const rollout_tunables tunables;
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view seen{base::engine_name("e0"), model, 1};
    seen.state_used_for = 5s;
    seen.outdated_for = tunables.longest_writer_wait;
    cr_assert_not(order_of(rollout, seen, start).has_value());
    bool announced_again = false;
    base::monotonic_time now = start;
    std::optional<send_order> sent;
    while (!sent && now < start + 2s) {
        now += 50ms;
        const auto steps = rollout.next({seen}, now);
        announced_again = announced_again || !steps.upcoming.empty();
        sent = steps.orders.empty() ? std::nullopt : std::optional(steps.orders[0]);
    }
    cr_assert(sent && sent->drain_first);
    cr_assert(announced_again, "it must get no new requests meanwhile");
    cr_assert(now >= start + tunables.shortest_writer_wait);
}

Test(weights_rollout, an_engine_whose_storing_requests_end_does_not_drain) {
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view seen{base::engine_name("e0"), model, 1};
    seen.state_used_for = 5s;
    cr_assert_not(order_of(rollout, seen, start).has_value());
    seen.state_used_for = {};
    const auto steps = rollout.next({seen}, start + 50ms);
    cr_assert_eq(steps.orders.size(), 1);
    cr_assert_not(steps.orders[0].drain_first);
}

// Guards against an engine that loads newer weights while it runs a request that stores state,
// which another router sent before it knew of the weights and has not reported yet.
Test(weights_rollout, an_engine_drains_first_unless_all_routers_report_that_none_stores) {
    for (const bool report_in_time : {true, false}) {
        weights_rollout rollout;
        rollout.want(model, 2);
        engine_view seen{base::engine_name("e0"), model, 1};
        seen.reports_current = false;
        cr_assert_not(order_of(rollout, seen, start).has_value());
        std::optional<send_order> sent;
        for (base::monotonic_time now = start; !sent && now < start + 2s; now += 50ms) {
            seen.outdated_for = now - start;
            seen.reports_current = report_in_time && now > start + 100ms;
            const auto steps = rollout.next({seen}, now);
            sent = steps.orders.empty() ? std::nullopt : std::optional(steps.orders[0]);
        }
        cr_assert(sent.has_value());
        cr_expect_neq(sent->drain_first, report_in_time);
    }
}

Test(weights_rollout, engines_that_would_drain_are_ordered_last) {
    weights_rollout rollout;
    rollout.want(model, 2);
    engine_view storing{base::engine_name("e0"), model, 1};
    storing.state_used_for = 5s;
    engine_view busy{base::engine_name("e1"), model, 1};
    busy.load = 30;
    const std::vector<engine_view> engines{storing, busy};
    const auto steps = rollout.next(engines, start);
    cr_assert_eq(steps.reports.size(), 1);
    cr_assert(steps.reports[0].engine == busy.name);
}

// Guards against a rollout that comes to a halt behind engines that run long requests.
Test(weights_rollout, engines_that_drain_hold_back_no_other_engine) {
    const rollout_tunables tunables;
    weights_rollout rollout;
    rollout.want(model, 2);
    std::vector<engine_view> engines;
    for (int number = 0; number < 12; ++number) {
        engine_view one{base::engine_name("e" + std::to_string(number)), model, 1};
        one.state_used_for = number < 6 ? 20s : 0s;
        engines.push_back(std::move(one));
    }
    std::map<base::engine_name, base::monotonic_time> loads_until;
    std::size_t drained = 0;
    for (base::monotonic_time now = start; now < start + tunables.order_within; now += 50ms) {
        for (engine_view& one : engines) {
            one.outdated_for = now - start;
        }
        const auto steps = rollout.next(engines, now);
        for (const ask_report& asked : steps.reports) {
            const auto loading = loads_until.find(asked.engine);
            const bool busy = loading != loads_until.end() && now < loading->second;
            const bool done = loading != loads_until.end() && !busy;
            const std::uint64_t orders = loading == loads_until.end() ? 0 : 1;
            rollout.reported(asked.engine, {done ? 2U : 1U, orders, busy}, now);
            for (engine_view& one : engines) {
                one.version = done && one.name == asked.engine ? 2 : one.version;
            }
        }
        for (const send_order& order : steps.orders) {
            drained += order.drain_first ? 1 : 0;
            loads_until[order.engine] = now + (order.drain_first ? 20s : 600ms);
            rollout.ordered(order.engine, order_answer::accepted, now);
        }
    }
    cr_assert_eq(drained, 6);
    cr_assert_eq(loads_until.size(), 12);
    cr_assert_eq(std::count_if(engines.begin(), engines.end(),
                               [](const engine_view& one) { return one.version == 2; }),
                 6);
    cr_assert(rollout.load_time() < 2s, "the wait is not part of the time to load");
}

// Guards against a version of one model that hides a smaller one of another.
Test(weights_rollout, version_numbers_of_models_are_not_compared) {
    for (const bool large_first : {false, true}) {
        fleet_with_models fleet(3);
        for (auto& [name, engine] : fleet.engines) {
            engine.versions["b"] = 1000;
        }
        fleet.want(large_first ? "b" : "a", large_first ? 1001 : 2);
        fleet.run_for(300ms);
        fleet.want(large_first ? "a" : "b", large_first ? 2 : 1001);
        fleet.run_for(12s);
        cr_assert_eq(fleet.count("a", 2), 3);
        cr_assert_eq(fleet.count("b", 1001), 3);
    }
}

Test(weights_rollout, an_engine_without_one_of_the_models_is_ordered_for_the_others) {
    fleet_with_models fleet(3);
    fleet.engines.begin()->second.versions.erase("b");
    fleet.want("a", 2);
    fleet.want("b", 8);
    fleet.run_for(12s);
    for (const auto& [name, engine] : fleet.engines) {
        cr_assert_eq(engine.versions.at("a"), 2);
        cr_assert(!engine.versions.contains("b") || engine.versions.at("b") == 8);
    }
    cr_assert_eq(fleet.engines.begin()->second.orders_taken, 1);
}

Test(weights_rollout, a_lost_answer_about_one_model_does_not_keep_another_one_from_loading) {
    fleet_with_models fleet(3);
    fleet.want("a", 2);
    fleet.want("b", 8);
    fleet.lost_answers = 2;
    fleet.run_for(20s);
    cr_assert_eq(fleet.count("a", 2), 3);
    cr_assert_eq(fleet.count("b", 8), 3);
}
