/// @file
/// Limits the requests to the canary version to a fixed share of the requests that this router
/// sends to the pool. Since each router keeps the limit by itself, it holds for the sum over all
/// routers without coordination, also during network partitions and restarts.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <map>

namespace ferryroad::core::canary {

struct exposure_tunables {
    /// Share of a route's requests. It is below the 0.1 that operators allow, to leave room for
    /// routers whose reports are missing and for requests that end without an answer.
    double share = 0.07;
    /// Maximum credit of a route, in requests. With 1, requests to the canary are spread evenly.
    double max_credit = 1;
};

/// Budget of one pool under one release order. Not thread-safe.
class exposure_budget {
  public:
    explicit exposure_budget(exposure_tunables tunables = {}) : m_tunables(tunables) {}

    /// Records the first dispatch of a request on the route, to either version.
    /// @return whether it may go to the canary; if so, it counts as exposed.
    bool take(const base::route_name& route);
    /// Returns the credit of an allowed request that was not sent to the canary.
    void give_back(const base::route_name& route);

    /// @return the number of requests recorded.
    std::uint64_t requests() const { return m_requests; }
    /// @return the number of requests allowed, at most `share` times `requests()`.
    std::uint64_t exposed() const { return m_exposed; }

  private:
    exposure_tunables m_tunables;
    std::map<base::route_name, double> m_credits;
    std::uint64_t m_requests = 0;
    std::uint64_t m_exposed = 0;
};

}  // namespace ferryroad::core::canary
