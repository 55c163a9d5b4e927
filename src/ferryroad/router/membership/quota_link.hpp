/// @file
/// Limits over all routers: the way to the router that counts for a tenant, by calls.
#pragma once

#include "ferryroad/peer/peer_dispatcher.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/router/membership/live_routers.hpp"

#include <optional>

namespace ferryroad::router::membership {

/// Used from the event loop's thread; the dispatcher and the routers outlive it.
class quota_link {
  public:
    /// @param answer_within a router that has not answered by then is taken for silent: long
    /// enough for a connection between regions to be made.
    quota_link(peer::peer_dispatcher& dispatcher, const live_routers& routers,
               base::duration answer_within = std::chrono::milliseconds(100))
        : m_dispatcher(dispatcher), m_routers(routers), m_answer_within(answer_within) {}

    /// Answers the other routers from that service, and tells it which routers there are. The
    /// service outlives every call.
    void serve(quotas::quota_service& service, live_routers& routers);

    /// @return nothing where the router isn't live, or doesn't answer in time.
    runtime::task<std::optional<quotas::quota_verdict>> ask(base::router_name home,
                                                            quotas::quota_ask question);

  private:
    std::optional<base::endpoint> address_of(const base::router_name& name) const;

    peer::peer_dispatcher& m_dispatcher;
    const live_routers& m_routers;
    base::duration m_answer_within;
};

}  // namespace ferryroad::router::membership
