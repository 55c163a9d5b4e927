/// All routers of a group count a tenant's requests at one home, so that its limit applies to the
/// group as a whole.
#include "ferryroad/router/membership/quota_link.hpp"

#include "test/router/membership/simulated_peers.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::router::membership;
using namespace ferryroad::router::membership::test;

constexpr std::size_t size = 3;
const quotas::rate_limit limit{base::revision(1), 10, 20};

/// The quota service of one router and its link.
struct counting_router {
    counting_router(simulated_peer& peer, const base::router_name& name)
        : link(peer.dispatcher, peer.membership),
          service(peer.scheduler, name, [this](base::router_name home, quotas::quota_ask question) {
              return link.ask(std::move(home), std::move(question));
          }) {
        link.serve(service, peer.membership);
    }

    quota_link link;
    quotas::quota_service service;
};

/// A group of routers with a quota service each.
struct counting_group {
    std::vector<std::unique_ptr<counting_router>> counting;
    simulated_peers group{size};  // Destroyed first: its processes use the services above.

    counting_group() {
        for (std::size_t index = 0; index < size; ++index) {
            counting.push_back(
                std::make_unique<counting_router>(*group.peers[index], name_of(index)));
        }
        cr_assert(group.run_until([this] { return group.all_see(size); }));
        group.time.run_until(group.time.now() + std::chrono::seconds(5));
    }
    quotas::quota_decision count(std::size_t index) {
        std::optional<quotas::quota_decision> decided;
        group.peers[index]->scheduler.spawn("test", run_count(counting[index]->service, decided));
        cr_assert(group.run_until([&] { return decided.has_value(); }));
        return *decided;
    }
    static runtime::task<void> run_count(quotas::quota_service& service,
                                         std::optional<quotas::quota_decision>& result) {
        result = co_await service.count(base::tenant_name("t"), limit, 1);
    }
};

}  // namespace

Test(quota_link, all_routers_count_a_tenant_at_one_home) {
    counting_group routers;
    const base::router_name home = routers.count(0).counted_by;
    const base::monotonic_time began = routers.group.time.now();
    double granted = 1;
    for (std::size_t request = 0; request < 60; ++request) {
        const auto decided = routers.count(request % size);
        cr_assert_eq(decided.counted_by, home);
        granted += decided.verdict.granted ? 1 : 0;
    }
    const double elapsed = base::to_seconds(routers.group.time.now() - began);
    cr_assert_geq(granted, limit.burst);
    cr_assert_leq(granted, limit.burst + limit.per_second * elapsed + 1);
}

Test(quota_link, another_router_becomes_home_when_the_home_crashes) {
    counting_group routers;
    const base::router_name home = routers.count(0).counted_by;
    std::size_t index = 0;
    while (name_of(index) != home) {
        ++index;
    }
    routers.group.crash(index);
    const std::size_t asking = (index + 1) % size;
    cr_assert(routers.group.run_until([&] {
        const auto decided = routers.count(asking);
        return !decided.counted_by.value.empty() && decided.counted_by != home;
    }));
}
