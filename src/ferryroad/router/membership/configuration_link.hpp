/// @file
/// The configuration service's way to the other routers.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/peer/peer_dispatcher.hpp"
#include "ferryroad/router/configuration/configuration_service.hpp"
#include "ferryroad/router/configuration/peer_link.hpp"
#include "ferryroad/router/membership/live_routers.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <memory>
#include <optional>

namespace ferryroad::router::membership {

struct configuration_link_limits {
    base::duration pull = std::chrono::seconds(2);
    base::duration push = std::chrono::seconds(1);
    /// Routers that a committed change is sent to directly; gossip reaches the others.
    std::size_t push_fanout = 16;
};

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
class configuration_link final : public peer_link {
  public:
    configuration_link(runtime::scheduler& scheduler, peer::peer_dispatcher& dispatcher,
                       const live_routers& routers, base::router_name self,
                       configuration_link_limits limits = {});

    /// Answers the other routers from that service, which outlives every call.
    void serve(configuration_service& service);

    runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>> pull(
        base::revision from) override;
    void push(const coordination::configuration::change& added) override;

  private:
    /// @return up to `count` live routers other than this one, at random.
    std::vector<router_info> others(std::size_t count);
    runtime::task<void> push_to(base::endpoint address,
                                std::shared_ptr<const peer::configuration_push> message);

    runtime::scheduler& scheduler_;
    peer::peer_dispatcher& dispatcher_;
    const live_routers& routers_;
    base::router_name self_;
    configuration_link_limits limits_;
};

}  // namespace ferryroad::router::membership
