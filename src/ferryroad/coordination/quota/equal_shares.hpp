/// @file
/// Fallback limiter of a single router: it enforces an equal share of each limit without asking
/// another router. The share does not follow demand, so it refuses requests below the limit when
/// they arrive unevenly. What other routers granted a moment ago is not known, so a new share of a
/// tenant's limit starts almost empty. One of an engine's limit, which may be less than a request
/// in minutes, starts at a random part of the time until its first grant: otherwise each of many
/// routers would grant its first request at once.
#pragma once

#include "ferryroad/base/random.hpp"
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
    /// @param random source of the first level of an engine's share.
    quota_verdict decide(const quota_ask& ask, std::size_t routers, base::monotonic_time now,
                         base::random_source& random);
    /// Removes subjects whose share is full again. Must be called periodically.
    void reclaim(base::monotonic_time now);
    /// @return number of subjects with a share.
    std::size_t size() const { return m_shares.size(); }

  private:
    struct share {
        rate_limit limit;
        double part = 1;
        quota_bucket bucket;
    };

    std::unordered_map<quota_subject, share, quota_subject_hash> m_shares;
};

}  // namespace ferryroad::coordination::quota
