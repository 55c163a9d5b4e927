/// Routing during a software release of a pool: which engines get requests, which requests go to
/// the canary, and which results are counted.
#include "ferryroad/relay/canary_traffic.hpp"

#include "ferryroad/relay/exchange_evidence.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
namespace release = coordination::release;
using core::execution::failure_kind;
using release::permission;
using release::release_phase;

namespace {

constexpr base::monotonic_time start{100s};
const base::pool_name pool("p");
const base::route_name route("r");

struct fixture {
    engine_registry registry;
    canary_traffic traffic{registry, {}};
    core::traffic::route matched_route;
    relay_plan plan;

    fixture() {
        add("e1", "v1", start);
        add("e2", "v1", start);
        traffic.confirmed(start);
        matched_route.name = route;
        plan.matched_route = &matched_route;
        plan.pool = pool;
    }
    void add(const char* name, const char* software, base::monotonic_time at) {
        listed_engine one;
        one.name.value = name;
        one.pool = pool;
        one.software.value = software;
        registry.put(one, at);
        traffic.engines_changed(at);
    }
    void order(std::uint64_t number = 7, const char* target = "v2") {
        traffic.order(
            {release::order_number(number), pool, release::software_version(target), 12s});
    }
    release::phase_notice notice(release_phase phase) const {
        return {pool, release::order_number(7),         release::software_version("v2"), phase,
                {},   {release::software_version("v1")}};
    }
    const known_engine& engine(const char* name) { return *registry.find(base::engine_name(name)); }
    bool allows(const char* name, bool canary, base::monotonic_time now) {
        release_filter filter(&traffic,
                              canary ? released_requests::canary : released_requests::current, now);
        return filter.allows(engine(name));
    }
    /// Starts a trial with one canary engine.
    void begin_trial() {
        order();
        add("n1", "v2", start + 1s);
        traffic.confirmed(start + 2s);
        traffic.told(notice(release_phase::trial), start + 2s);
    }
    /// @return how many of `count` requests are selected for the canary.
    int choose(int count, base::monotonic_time now) {
        int chosen = 0;
        for (int request = 0; request < count; ++request) {
            chosen += traffic.choose(pool, route, now) ? 1 : 0;
        }
        return chosen;
    }
    exchange_evidence begun(const char* name, base::duration reading = 0ms) {
        exchange_evidence evidence(&traffic);
        evidence.begin(plan, &engine(name), reading, start + 2s);
        return evidence;
    }
    const core::canary::compared_counts& counts() { return traffic.find(pool)->counts.at(route); }
};

std::size_t class_of(base::duration taken) {
    return core::canary::duration_class_of(taken);
}

dispatch_failure failure(failure_kind kind) {
    dispatch_failure one;
    one.kind = kind;
    return one;
}

}  // namespace

Test(canary_traffic, new_versions_without_an_order_need_only_a_confirmation) {
    fixture at;
    at.add("n1", "v2", start + 1s);
    cr_assert(at.allows("e1", false, start + 1s));
    cr_assert_not(at.allows("n1", false, start + 1s));
    cr_assert_eq(at.choose(100, start + 1s), 0);
    at.traffic.confirmed(start + 1s);
    cr_assert(at.allows("n1", false, start + 1s));
    cr_assert(at.allows("e1", false, start + 1s));
}

Test(canary_traffic, pool_keeps_serving_without_a_permitted_engine) {
    fixture at;
    at.registry.remove(base::engine_name("e1"));
    at.registry.remove(base::engine_name("e2"));
    at.add("n1", "v2", start + 1s);
    at.add("n2", "v3", start + 1s);
    cr_assert(at.allows("n1", false, start + 1s));
    cr_assert(at.allows("n2", false, start + 1s));
    at.order();
    cr_assert_not(at.allows("n1", false, start + 1s), "the target of an order");
    cr_assert(at.allows("n2", false, start + 1s), "lacks only a confirmation");
    engine_registry registry;
    canary_traffic fresh(registry, {});
    registry.put(at.engine("n1").listed, start);
    fresh.engines_changed(start);
    release_filter filter(&fresh, released_requests::current, start);
    cr_assert(filter.allows(*registry.find(base::engine_name("n1"))), "nothing confirmed yet");
}

Test(canary_traffic, trial_sends_only_the_exposure_share_to_the_canary) {
    fixture at;
    at.begin_trial();
    cr_assert_not(at.allows("n1", false, start + 2s));
    const int chosen = at.choose(1000, start + 2s);
    cr_assert_geq(chosen, 65);
    cr_assert_leq(chosen, 70);
    cr_assert(at.allows("n1", true, start + 2s));
    cr_assert_not(at.allows("e1", true, start + 2s));
    cr_assert(at.allows("e1", false, start + 2s));
    cr_assert_eq(at.choose(100, start + 4s), 0, "the phase notice has expired");
    cr_assert_eq(at.traffic.find(pool)->exposed, chosen);
}

Test(canary_traffic, skips_a_canary_that_refuses_work) {
    fixture at;
    at.begin_trial();
    cr_assert_gt(at.choose(100, start + 2s), 0);
    at.registry.find(base::engine_name("n1"))->refuses_until = start + 3s;
    cr_assert_not(at.allows("n1", true, start + 2s));
    at.traffic.give_back(pool, route);
    cr_assert_gt(at.choose(1, start + 2s), 0, "the returned budget is available");
    at.registry.remove(base::engine_name("n1"));
    at.traffic.engines_changed(start + 2s);
    cr_assert_eq(at.choose(1000, start + 2s), 0, "there is no canary engine");
}

Test(canary_traffic, promotion_leaves_the_old_version_as_a_state_source_only) {
    fixture at;
    at.begin_trial();
    cr_assert(at.traffic.is_state_source(at.engine("e1"), start + 2s));
    at.traffic.told(at.notice(release_phase::promoted), start + 3s);
    cr_assert(at.allows("n1", false, start + 30s));
    cr_assert_not(at.allows("e1", false, start + 30s));
    cr_assert(at.traffic.is_state_source(at.engine("e1"), start + 30s));
    const engine_load loss(at.registry, base::engine_name("e1"), 0, false);
    const engine_load safe(at.registry, base::engine_name("e2"), 0, true);
    cr_assert_eq(at.traffic.unrepeatable_at_replaced(pool), 1);
}

Test(canary_traffic, refused_version_gets_no_requests_and_provides_no_state) {
    fixture at;
    at.begin_trial();
    auto told = at.notice(release_phase::rolled_back);
    told.refused = {release::software_version("v2")};
    told.replaced.clear();
    at.traffic.told(told, start + 3s);
    at.traffic.confirmed(start + 4s);
    cr_assert_not(at.allows("n1", false, start + 4s));
    cr_assert_not(at.allows("n1", true, start + 4s));
    cr_assert_not(at.traffic.is_state_source(at.engine("n1"), start + 4s));
    cr_assert(at.allows("e1", false, start + 4s));
    cr_assert_not(at.traffic.order_in_progress(pool).has_value());
}

Test(canary_traffic, own_counts_stop_the_trial_of_a_bad_version) {
    fixture at;
    at.begin_trial();
    for (int request = 0; request < 400; ++request) {
        at.begun("e1").answered(200, start + 2s + 20ms);
    }
    cr_assert_not(at.traffic.look(pool));
    for (int request = 0; request < 60; ++request) {
        at.begun("n1").answered(500, start + 2s + 20ms);
    }
    cr_assert(at.traffic.look(pool));
    cr_assert_not(at.traffic.look(pool), "reported once");
    cr_assert_eq(at.choose(100, start + 2s), 0);
    cr_assert_eq(at.counts().current.answered, 400);
    cr_assert_eq(at.counts().canary.failed, 60);
}

Test(exchange_evidence, durations_are_for_comparable_work) {
    fixture at;
    at.begin_trial();
    at.begun("e1").answered(200, start + 2s + 50ms);
    cr_assert_eq(at.counts().current.durations[class_of(50ms)], 1, "duration of a whole answer");
    auto stream = at.begun("n1", 300ms);
    for (const auto event : {400ms, 420ms, 440ms}) {
        stream.event(start + 2s + event);
    }
    stream.answered(200, start + 3s);
    cr_assert_eq(at.counts().canary.durations[class_of(20ms)], 1, "between events");
    auto two_events = at.begun("n1", 300ms);
    two_events.event(start + 2s + 400ms);
    two_events.event(start + 2s + 800ms);
    two_events.answered(200, start + 3s);
    cr_assert_eq(at.counts().canary.durations[class_of(100ms)], 1,
                 "excluding the prompt computation");
    auto warm = at.begun("n1", 300ms);
    warm.event(start + 2s + 100ms);
    warm.answered(200, start + 3s);
    cr_assert_eq(at.counts().canary.durations[class_of(1ms)], 1,
                 "prompt computed faster than expected");
}

Test(exchange_evidence, engines_in_warm_up_are_not_timed) {
    fixture at;
    at.begin_trial();
    listed_engine slow = at.engine("n1").listed;
    slow.name.value = "n2";
    slow.warming = 5s;
    at.registry.put(slow, start + 2s);
    at.traffic.engines_changed(start + 2s);
    cr_assert_gt(at.choose(100, start + 2s), 0);
    cr_assert_not(at.allows("n2", true, start + 2s), "another canary has finished its warm-up");
    at.begun("n2").answered(200, start + 3s);
    at.begun("n2").answered(500, start + 3s);
    cr_assert_eq(at.counts().canary.answered, 2);
    cr_assert_eq(at.counts().canary.failed, 1);
    cr_assert_eq(at.counts().canary.durations[class_of(1s)], 0);
    at.registry.remove(base::engine_name("n1"));
    at.traffic.engines_changed(start + 2s);
    cr_assert_gt(at.choose(100, start + 2s), 0);
    cr_assert(at.allows("n2", true, start + 2s), "no canary has finished its warm-up");
}

Test(exchange_evidence, counts_only_results_caused_by_the_engine) {
    fixture at;
    at.begin_trial();
    const base::monotonic_time now = start + 2s + 30ms;
    for (const auto kind : {failure_kind::unreachable, failure_kind::stale_target,
                            failure_kind::overloaded, failure_kind::rejected}) {
        at.begun("n1").failed(failure(kind), false, true, now);
    }
    at.begun("n1").failed(failure(failure_kind::broken), false, true, now);
    at.begun("n1").failed(failure(failure_kind::timed_out), true, false, now);
    cr_assert(at.traffic.find(pool)->counts.empty());
    at.begun("n1").failed(failure(failure_kind::timed_out), true, true, now);
    cr_assert_eq(at.counts().canary.durations[class_of(30ms)], 1);
    at.begun("n1").failed(failure(failure_kind::engine_failure), false, true, now);
    cr_assert_eq(at.counts().canary.failed, 1);
    for (const auto later : {0ms, 10ms, 900ms}) {
        at.begun("n1").failed(failure(failure_kind::broken), true, true, now + later);
    }
    cr_assert_eq(at.counts().canary.failed, 2, "failures within the crash window count once");
    at.begun("n1").failed(failure(failure_kind::broken), true, true, now + 1s);
    cr_assert_eq(at.counts().canary.failed, 3);
}

Test(exchange_evidence, ignores_exchanges_begun_under_another_order) {
    fixture at;
    auto early = at.begun("e1");
    at.begin_trial();
    early.answered(200, start + 3s);
    auto overtaken = at.begun("e1");
    at.order(9, "v3");
    overtaken.answered(200, start + 3s);
    cr_assert(at.traffic.find(pool)->counts.empty());
    exchange_evidence nobody(nullptr);
    nobody.begin(at.plan, &at.engine("e1"), 0ms, start);
    nobody.answered(200, start);
}
