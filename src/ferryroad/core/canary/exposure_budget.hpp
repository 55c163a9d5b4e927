/// @file
/// Bounds how many requests a version on trial gets: a fixed share of what this router sends to
/// the pool by itself. The sum over all routers is that share of all requests, whatever routers
/// know of each other, through cuts and restarts.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <map>

namespace ferryroad::core::canary {

struct exposure_tunables {
    /// Of a route's requests. Below the 0.1 that operators allow, by what routers that are not
    /// heard and requests that end in vain take.
    double share = 0.07;
    /// Requests to the canary that may be saved up on a route: one, so that they are spread.
    double most_saved = 1;
};

/// Of one pool under one order. Not thread-safe.
class exposure_budget {
  public:
    explicit exposure_budget(exposure_tunables tunables = {}) : m_tunables(tunables) {}

    /// A first dispatch of a request on the route, to whichever group.
    /// @return whether it may go to the canary, which is counted then.
    bool take(const base::route_name& route);
    /// A request that was allowed went elsewhere after all: nothing was sent to the canary.
    void give_back(const base::route_name& route);

    std::uint64_t requests() const { return m_requests; }
    /// @return requests that were allowed: at most `share` of `requests`.
    std::uint64_t exposed() const { return m_exposed; }

  private:
    exposure_tunables m_tunables;
    std::map<base::route_name, double> m_saved;
    std::uint64_t m_requests = 0;
    std::uint64_t m_exposed = 0;
};

}  // namespace ferryroad::core::canary
