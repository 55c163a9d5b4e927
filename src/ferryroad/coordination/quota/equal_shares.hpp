/// @file
/// Fallback limiter of a single router: it enforces an equal share of each tenant's limit without
/// asking another router. The share does not follow demand, so it refuses requests below the limit
/// when they arrive unevenly. A new share starts almost empty, because what other routers granted a
/// moment ago is not known.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/quota_bucket.hpp"
#include "ferryroad/coordination/quota/types.hpp"

#include <cstddef>
#include <unordered_map>

namespace ferryroad::coordination::quota {

/// Pure: the verdict depends only on the state, the ask and the time. Not thread-safe.
class equal_shares {
  public:
    /// @param ask must have a limit above 0.
    /// @param routers number of routers that share the limit, at least 1.
    quota_verdict decide(const quota_ask& ask, std::size_t routers, base::monotonic_time now);
    /// Removes tenants whose share is full again. Must be called periodically.
    void reclaim(base::monotonic_time now);
    /// @return number of tenants with a share.
    std::size_t size() const { return m_shares.size(); }

  private:
    struct share {
        rate_limit limit;
        double part = 1;
        quota_bucket bucket;
    };

    std::unordered_map<base::tenant_name, share> m_shares;
};

}  // namespace ferryroad::coordination::quota
