/// @file
/// Connects the quota service with those of the other routers by calls over the peer transport.
#pragma once

#include "ferryroad/peer/peer_dispatcher.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/router/membership/live_routers.hpp"

#include <optional>

namespace ferryroad::router::membership {

/// Not thread-safe: used from the event loop's thread only. The dispatcher and the routers must
/// outlive it.
class quota_link {
  public:
    /// @param ask_timeout after which a router counts as not answering; long enough to open a
    /// connection between regions.
    quota_link(peer::peer_dispatcher& dispatcher, const live_routers& routers,
               base::duration ask_timeout = std::chrono::milliseconds(100))
        : m_dispatcher(dispatcher), m_routers(routers), m_ask_timeout(ask_timeout) {}

    /// Answers the other routers' calls from `service` and keeps its list of routers up to date.
    /// The service must outlive every call and every change of `routers`.
    void serve(quotas::quota_service& service, live_routers& routers);

    /// @return nothing if the router isn't live or doesn't answer in time.
    runtime::task<std::optional<quotas::quota_verdict>> ask(base::router_name home,
                                                            quotas::quota_ask question);

  private:
    std::optional<base::endpoint> address_of(const base::router_name& name) const;

    peer::peer_dispatcher& m_dispatcher;
    const live_routers& m_routers;
    base::duration m_ask_timeout;
};

}  // namespace ferryroad::router::membership
