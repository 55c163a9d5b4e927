/// Which round trips are believed: the shortest of late, whatever else was slow.
#include "ferryroad/core/topology/path_costs.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::core::topology;
using namespace std::chrono_literals;

namespace {

const base::zone_name own("own");
const base::zone_name near("near");
const base::zone_name far("far");
constexpr base::monotonic_time start{100s};

path_costs costs() {
    return path_costs(own, parse_zones({"own=one", "near=one", "far=two"}).zones);
}

void see(path_costs& paths, const base::zone_name& zone, base::duration took, int times,
         base::monotonic_time now = start) {
    for (int index = 0; index < times; ++index) {
        paths.record(zone, took, now);
    }
}

}  // namespace

Test(path_costs, distances_tell_until_enough_was_seen) {
    path_costs paths = costs();
    cr_assert(paths.beyond_own(own, start) == 0ms);
    cr_assert(paths.beyond_own(near, start) == 0ms);
    cr_assert(paths.beyond_own(far, start) == 40ms);
    see(paths, far, 5ms, 100);
    cr_assert(paths.beyond_own(far, start) == 40ms);  // Nothing to compare it with.
    see(paths, own, 1ms, 7);
    cr_assert(paths.beyond_own(far, start) == 40ms);
    see(paths, own, 1ms, 1);
    cr_assert(paths.beyond_own(far, start) == 4ms);
}

Test(path_costs, slow_exchanges_and_steps_of_a_clock_change_nothing) {
    path_costs paths = costs();
    see(paths, own, 2ms, 20);
    see(paths, far, 42ms, 20);
    see(paths, far, 3s, 200);
    see(paths, own, 1s, 200);
    see(paths, far, -5s, 3);
    cr_assert(paths.beyond_own(far, start) == 40ms);
}

Test(path_costs, a_longer_way_is_believed_after_two_windows) {
    path_costs paths = costs();
    for (int second = 0; second < 20; ++second) {
        const base::duration way = second < 6 ? 20ms : 60ms;
        see(paths, own, 1ms, 10, start + std::chrono::seconds(second));
        see(paths, far, way + 1ms, 10, start + std::chrono::seconds(second));
    }
    cr_assert(paths.beyond_own(far, start + 19s) == 60ms);
}

Test(path_costs, a_zone_that_is_no_longer_heard_is_assumed_again) {
    path_costs paths = costs();
    see(paths, own, 1ms, 10);
    see(paths, far, 301ms, 10);
    cr_assert(paths.beyond_own(far, start) == 300ms);
    see(paths, own, 1ms, 10, start + 60s);
    cr_assert(paths.beyond_own(far, start + 60s) == 40ms);
}

Test(path_costs, a_way_is_never_negative_nor_endless) {
    path_costs paths = costs();
    see(paths, own, 50ms, 10);
    see(paths, near, 10ms, 10);
    see(paths, far, 5s, 10);
    cr_assert(paths.beyond_own(near, start) == 0ms);
    cr_assert(paths.beyond_own(far, start) == 400ms);
}
