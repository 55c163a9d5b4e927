/// Messages and bytes are counted by kind of traffic and distance.
#include "ferryroad/relay/traffic_meter.hpp"

#include "test/relay/fake_network.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::relay;
using core::topology::distance;

namespace {

const base::endpoint near_router{"10.0.0.1", 7};
const base::endpoint far_router{"10.0.0.2", 7};

traffic_meter meter() {
    traffic_meter made(base::zone_name("a"),
                       core::topology::parse_zones({"a=one", "b=one", "c=two"}).zones);
    made.set_routers({{base::router_name("near"), base::zone_name("b"), near_router},
                      {base::router_name("far"), base::zone_name("c"), far_router}});
    return made;
}

}  // namespace

Test(traffic_meter, counts_by_kind_and_distance) {
    traffic_meter counted = meter();
    counted.add(traffic_kind::request, base::zone_name("c"), 100);
    counted.add(traffic_kind::request, base::zone_name("c"), 50);
    counted.add(traffic_kind::request, base::zone_name("a"), 7);
    counted.add(traffic_kind::answer, base::zone_name("b"), 5);
    const std::vector<metered_bytes> expected = {
        {traffic_kind::request, distance::same_zone, 1, 7},
        {traffic_kind::request, distance::other_region, 2, 150},
        {traffic_kind::answer, distance::other_zone, 1, 5}};
    cr_assert(counted.totals() == expected);
}

Test(traffic_meter, counts_messages_to_routers_by_their_zones) {
    traffic_meter counted = meter();
    ferryroad::relay::test::fake_network network;
    ferryroad::relay::test::fake_transport inner(network, {"10.0.0.9", 7});
    metered_transport notices(inner, counted, traffic_kind::notice);
    notices.send(near_router, "12345");
    notices.send(far_router, "123");
    notices.send({"10.0.0.77", 7}, "1");  // An unknown router.
    const std::vector<metered_bytes> expected = {
        {traffic_kind::notice, distance::same_zone, 1, 1},
        {traffic_kind::notice, distance::other_zone, 1, 5},
        {traffic_kind::notice, distance::other_region, 1, 3}};
    cr_assert(counted.totals() == expected);
    cr_assert_eq(network.sent, 3);
}
