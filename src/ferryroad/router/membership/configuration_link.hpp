/// @file
/// Connects the configuration service with those of the other routers.
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
    base::duration pull = std::chrono::seconds(2);  ///< Timeout of a pull.
    base::duration push = std::chrono::seconds(1);  ///< Timeout of a push.
    /// Number of routers that a committed change is sent to directly. The others learn of it by
    /// gossip.
    std::size_t push_fanout = 16;
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended. Its dependencies must outlive it.
class configuration_link final : public peer_link {
  public:
    configuration_link(runtime::scheduler& scheduler, peer::peer_dispatcher& dispatcher,
                       const live_routers& routers, base::router_name self,
                       configuration_link_limits limits = {});

    /// Answers the other routers' calls from `service`, which must outlive every call.
    void serve(configuration_service& service);

    runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>> pull(
        base::revision from) override;
    void push(const coordination::configuration::change& added) override;

  private:
    /// @return up to `count` other live routers, chosen at random.
    std::vector<router_info> random_peers(std::size_t count);
    runtime::task<void> push_to(base::endpoint address,
                                std::shared_ptr<const peer::configuration_push> message);

    runtime::scheduler& scheduler_;
    peer::peer_dispatcher& dispatcher_;
    const live_routers& routers_;
    base::router_name self_;
    configuration_link_limits limits_;
};

}  // namespace ferryroad::router::membership
