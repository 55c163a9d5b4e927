/// A tenant's rate is counted once over all stand-alone routers.
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

/// What each router of the group composes.
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

/// The group, and what each of its routers counts with.
struct counting_group {
    std::vector<std::unique_ptr<counting_router>> counting;
    simulated_peers group{size};  // Ends first: its processes use the above.

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
        group.peers[index]->scheduler.spawn("test", keep(counting[index]->service, decided));
        cr_assert(group.run_until([&] { return decided.has_value(); }));
        return *decided;
    }
    static runtime::task<void> keep(quotas::quota_service& service,
                                    std::optional<quotas::quota_decision>& into) {
        into = co_await service.count(base::tenant_name("t"), limit, 1);
    }
};

}  // namespace

Test(quota_link, routers_count_a_tenant_once) {
    counting_group at;
    const base::router_name home = at.count(0).counted_by;
    const base::monotonic_time began = at.group.time.now();
    double granted = 1;
    for (std::size_t request = 0; request < 60; ++request) {
        const auto decided = at.count(request % size);
        cr_assert_eq(decided.counted_by, home);
        granted += decided.verdict.granted ? 1 : 0;
    }
    const double elapsed = base::to_seconds(at.group.time.now() - began);
    cr_assert_geq(granted, limit.burst);
    cr_assert_leq(granted, limit.burst + limit.per_second * elapsed + 1);
}

Test(quota_link, a_router_that_ended_is_followed_by_another) {
    counting_group at;
    const base::router_name home = at.count(0).counted_by;
    std::size_t index = 0;
    while (name_of(index) != home) {
        ++index;
    }
    at.group.crash(index);
    const std::size_t asking = (index + 1) % size;
    cr_assert(at.group.run_until([&] {
        const auto decided = at.count(asking);
        return !decided.counted_by.value.empty() && decided.counted_by != home;
    }));
}
