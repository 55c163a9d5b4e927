/// Suspension of engines after failures, and its end.
#include "ferryroad/core/placement/engine_health.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::core::placement;
using namespace std::chrono_literals;

namespace {
constexpr base::monotonic_time start{100s};
}  // namespace

Test(engine_health, one_failed_exchange_does_not_suspend) {
    engine_health health;
    health.record_failure(false, start);
    cr_assert_not(health.suspended(start));
}

Test(engine_health, no_connection_suspends_at_once) {
    engine_health health;
    health.record_failure(true, start);
    cr_assert(health.suspended(start));
    cr_assert_not(health.suspended(start + 1s));
}

Test(engine_health, a_share_of_failed_exchanges_suspends) {
    engine_health health;
    health.record_failure(false, start);
    health.record_failure(false, start);
    cr_assert(health.suspended(start));
}

Test(engine_health, successes_in_between_prevent_a_suspension) {
    engine_health health;
    for (int round = 0; round < 50; ++round) {
        health.record_failure(false, start);
        for (int sound = 0; sound < 5; ++sound) {
            health.record_success();
        }
        cr_assert_not(health.suspended(start));
    }
}

Test(engine_health, suspensions_grow_to_a_bound_and_shrink_after_success) {
    const health_tunables tunables;
    engine_health health(tunables);
    base::monotonic_time now = start;
    for (int round = 0; round < 12; ++round) {
        health.record_failure(true, now);
        cr_assert(health.suspended(now));
        cr_assert_not(health.suspended(now + tunables.max_suspension));
        now += tunables.max_suspension;
    }
    for (int sound = 0; sound < 20; ++sound) {
        health.record_success();
    }
    health.record_failure(true, now);
    cr_assert_not(health.suspended(now + tunables.initial_suspension));
}

Test(engine_health, a_fault_seen_by_several_requests_counts_once) {
    engine_health health;
    for (int index = 0; index < 20; ++index) {
        health.record_failure(true, start);
    }
    cr_assert_not(health.suspended(start + health_tunables{}.initial_suspension));
}
