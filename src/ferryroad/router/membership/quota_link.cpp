#include "ferryroad/router/membership/quota_link.hpp"

#include <utility>
#include <vector>

namespace ferryroad::router::membership {

namespace {

void declare_routers(quotas::quota_service& service, const live_routers& routers) {
    std::vector<base::router_name> names;
    for (const router_info& one : routers.live()) {
        names.push_back(one.name);
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
    routers.on_change([&service, &routers] { declare_routers(service, routers); });
}

runtime::task<std::optional<quotas::quota_verdict>> quota_link::ask(base::router_name home,
                                                                    quotas::quota_ask question) {
    const auto address = address_of(home);
    if (!address) {
        co_return std::nullopt;
    }
    peer::call_body request = peer::quota_request{0, std::move(question)};
    const auto answer = co_await m_dispatcher.call<peer::quota_grant>(*address, std::move(request),
                                                                      m_answer_within);
    co_return answer ? std::optional(answer->verdict) : std::nullopt;
}

std::optional<base::endpoint> quota_link::address_of(const base::router_name& name) const {
    for (const router_info& one : m_routers.live()) {
        if (one.name == name) {
            return one.address;
        }
    }
    return std::nullopt;
}

}  // namespace ferryroad::router::membership
