/// Latency estimates use the recent minimum and are not affected by slow exchanges.
#include "ferryroad/core/topology/zone_latency_estimator.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::core::topology;
using namespace std::chrono_literals;

namespace {

const base::zone_name own("own");
const base::zone_name near("near");
const base::zone_name far("far");
constexpr base::monotonic_time start{100s};

zone_latency_estimator costs() {
    return zone_latency_estimator(own, parse_zones({"own=one", "near=one", "far=two"}).zones);
}

void record_times(zone_latency_estimator& paths, const base::zone_name& zone, base::duration took,
                  int times, base::monotonic_time now = start) {
    for (int index = 0; index < times; ++index) {
        paths.record(zone, took, now);
    }
}

}  // namespace

Test(zone_latency_estimator, distances_are_used_until_there_are_enough_samples) {
    zone_latency_estimator paths = costs();
    cr_assert(paths.excess_round_trip(own, start) == 0ms);
    cr_assert(paths.excess_round_trip(near, start) == 0ms);
    cr_assert(paths.excess_round_trip(far, start) == 40ms);
    record_times(paths, far, 5ms, 100);
    cr_assert(paths.excess_round_trip(far, start) ==
              40ms);  // There are no samples of the own zone yet.
    record_times(paths, own, 1ms, 7);
    cr_assert(paths.excess_round_trip(far, start) == 40ms);
    record_times(paths, own, 1ms, 1);
    cr_assert(paths.excess_round_trip(far, start) == 4ms);
}

Test(zone_latency_estimator, slow_exchanges_and_clock_steps_have_no_effect) {
    zone_latency_estimator paths = costs();
    record_times(paths, own, 2ms, 20);
    record_times(paths, far, 42ms, 20);
    record_times(paths, far, 3s, 200);
    record_times(paths, own, 1s, 200);
    record_times(paths, far, -5s, 3);
    cr_assert(paths.excess_round_trip(far, start) == 40ms);
}

Test(zone_latency_estimator, an_increased_latency_takes_effect_after_two_windows) {
    zone_latency_estimator paths = costs();
    for (int second = 0; second < 20; ++second) {
        const base::duration way = second < 6 ? 20ms : 60ms;
        record_times(paths, own, 1ms, 10, start + std::chrono::seconds(second));
        record_times(paths, far, way + 1ms, 10, start + std::chrono::seconds(second));
    }
    cr_assert(paths.excess_round_trip(far, start + 19s) == 60ms);
}

Test(zone_latency_estimator, outdated_samples_are_ignored) {
    zone_latency_estimator paths = costs();
    record_times(paths, own, 1ms, 10);
    record_times(paths, far, 301ms, 10);
    cr_assert(paths.excess_round_trip(far, start) == 300ms);
    record_times(paths, own, 1ms, 10, start + 60s);
    cr_assert(paths.excess_round_trip(far, start + 60s) == 40ms);
}

Test(zone_latency_estimator, estimates_are_bounded) {
    zone_latency_estimator paths = costs();
    record_times(paths, own, 50ms, 10);
    record_times(paths, near, 10ms, 10);
    record_times(paths, far, 5s, 10);
    cr_assert(paths.excess_round_trip(near, start) == 0ms);
    cr_assert(paths.excess_round_trip(far, start) == 400ms);
}
