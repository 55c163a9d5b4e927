/// Whom this router learns of newer weights from, and whether it would.
#include "ferryroad/relay/weights_notices.hpp"

#include "bench/simulation/virtual_scheduler.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

struct notices_fixture {
    bench::simulation::virtual_time time{1};
    bench::simulation::virtual_scheduler scheduler{time, 1};
    policy_source policies{policy_staleness_limits{}};
    bool isolated = false;
    int newer = 0;  ///< Calls of `on_newer_weights`.
    weights_notices notices{
        {scheduler, policies, [this] { return isolated; }, [this] { ++newer; }}};

    ~notices_fixture() { scheduler.kill(); }
};

}  // namespace

Test(weights_notices, each_newer_version_is_notified_once) {
    notices_fixture fixture;
    fixture.notices.record_naming("m", 2);
    fixture.notices.record_naming("m", 2);
    cr_assert_eq(fixture.newer, 1);
    fixture.notices.record_observation("m", 2);
    cr_assert_eq(fixture.newer, 1, "named already");
    fixture.notices.record_observation("m", 3);
    fixture.notices.record_observation("m", 3);
    cr_assert_eq(fixture.newer, 2);
    cr_assert_not(fixture.policies.is_newest("m", 2));
    fixture.notices.record_naming("m", 3);
    cr_assert_eq(fixture.newer, 3);
    cr_assert_eq(fixture.policies.versions_of("m").newest(), 3);
}

Test(weights_notices, a_router_is_informed_by_a_fresh_copy_or_by_others) {
    notices_fixture fixture;
    fixture.isolated = true;
    cr_assert_not(fixture.notices.is_informed());
    fixture.policies.confirm(fixture.scheduler.now());
    cr_assert(fixture.notices.is_informed());
    fixture.time.run_until(fixture.time.now() + 5s);
    cr_assert_not(fixture.notices.is_informed(), "the copy is old");
    fixture.isolated = false;
    cr_assert(fixture.notices.is_informed());
}

// Guards against requests that store state unknown to the other routers: they hear nothing more of
// a router that is stopping, which still serves.
Test(weights_notices, a_router_that_is_stopping_is_not_informed) {
    notices_fixture fixture;
    fixture.policies.confirm(fixture.scheduler.now());
    fixture.notices.stop();
    cr_assert_not(fixture.notices.is_informed());
}
