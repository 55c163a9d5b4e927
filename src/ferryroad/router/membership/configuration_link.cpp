#include "ferryroad/router/membership/configuration_link.hpp"

#include <utility>

namespace ferryroad::router::membership {

namespace {

constexpr std::string_view component = "router.configuration_link";

}  // namespace

configuration_link::configuration_link(runtime::scheduler& scheduler,
                                       peer::peer_dispatcher& dispatcher,
                                       const live_routers& routers, base::router_name self,
                                       configuration_link_limits limits)
    : scheduler_(scheduler),
      dispatcher_(dispatcher),
      routers_(routers),
      self_(std::move(self)),
      limits_(limits) {}

void configuration_link::serve(configuration_service& service) {
    dispatcher_.handle<peer::configuration_pull>(
        [&service](const peer::call_sender& /*sender*/, const peer::configuration_pull& request) {
            return service.answer_pull(request.from);
        });
    dispatcher_.handle<peer::configuration_push>(
        [&service](const peer::call_sender& /*sender*/, peer::configuration_push message) {
            service.accept_push(std::move(message.change));
            return peer::empty{};
        });
}

runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>>
configuration_link::pull(base::revision from) {
    const std::vector<router_info> chosen = random_peers(1);
    if (chosen.empty()) {
        co_return peer::error{peer::error_code::unreachable, "no other router is known"};
    }
    peer::call_body request = peer::configuration_pull{from};
    co_return co_await dispatcher_.call<peer::configuration_answer>(
        chosen.front().address, std::move(request), limits_.pull);
}

void configuration_link::push(const coordination::configuration::change& added) {
    const auto message =
        std::make_shared<const peer::configuration_push>(peer::configuration_push{added});
    for (const router_info& router : random_peers(limits_.push_fanout)) {
        scheduler_.spawn(component, push_to(router.address, message));
    }
}

std::vector<router_info> configuration_link::random_peers(std::size_t count) {
    std::vector<router_info> routers = routers_.live();
    std::erase_if(routers, [&](const router_info& router) { return router.name == self_; });
    // Partial Fisher-Yates shuffle: draws the first `count` elements at random.
    for (std::size_t index = 0; index < routers.size() && index < count; ++index) {
        const std::size_t remaining = routers.size() - index;
        std::swap(routers[index], routers[index + scheduler_.random().below(remaining)]);
    }
    routers.resize(std::min(count, routers.size()));
    return routers;
}

runtime::task<void> configuration_link::push_to(
    base::endpoint address, std::shared_ptr<const peer::configuration_push> message) {
    peer::call_body request = *message;
    // A failed push is ignored: the router learns of the revision by gossip and pulls it.
    const auto ignored = co_await dispatcher_.call<peer::empty>(std::move(address),
                                                                std::move(request), limits_.push);
    (void)ignored;
}

}  // namespace ferryroad::router::membership
