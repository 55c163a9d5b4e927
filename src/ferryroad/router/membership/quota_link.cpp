#include "ferryroad/router/membership/quota_link.hpp"

#include <utility>
#include <vector>

namespace ferryroad::router::membership {

namespace {

void update_routers(quotas::quota_service& service, const live_routers& routers) {
    std::vector<base::router_name> names;
    for (const router_info& router : routers.live()) {
        names.push_back(router.name);
    }
    service.expect_routers(names.size() + 1);
    service.set_routers(std::move(names));
}

}  // namespace

void quota_link::serve(quotas::quota_service& service, live_routers& routers) {
    m_dispatcher.handle<peer::quota_request>(
        [&service](const peer::call_sender& sender, const peer::quota_request& request) {
            return peer::quota_grant{request.number, service.decide_for(sender.name, request.ask)};
        });
    routers.on_change([&service, &routers] { update_routers(service, routers); });
}

runtime::task<std::optional<quotas::quota_verdict>> quota_link::ask(base::router_name home,
                                                                    quotas::quota_ask question) {
    const auto address = address_of(home);
    if (!address) {
        co_return std::nullopt;
    }
    peer::call_body request = peer::quota_request{0, std::move(question)};
    const auto answer =
        co_await m_dispatcher.call<peer::quota_grant>(*address, std::move(request), m_ask_timeout);
    co_return answer ? std::optional(answer->verdict) : std::nullopt;
}

std::optional<base::endpoint> quota_link::address_of(const base::router_name& name) const {
    for (const router_info& router : m_routers.live()) {
        if (router.name == name) {
            return router.address;
        }
    }
    return std::nullopt;
}

}  // namespace ferryroad::router::membership
