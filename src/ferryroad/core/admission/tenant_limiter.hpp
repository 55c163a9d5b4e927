/// @file
/// Rate and concurrency limits of each tenant at this router.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/admission/token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace ferryroad::core::admission {

/// Limits for one tenant at this router; 0 means unlimited. They are this router's share of the
/// tenant's quota, which applies to all routers together.
struct tenant_share {
    double requests_per_second = 0;
    double request_burst = 0;  ///< 0: the requests of one second, at least 1.
    std::uint32_t concurrent_requests = 0;
};

enum class limit_verdict { admitted, over_rate, over_concurrency };

struct limit_answer {
    limit_verdict verdict{};
    /// Suggested delay before a retry; 0 for an admitted request.
    base::duration retry_after{};
};

/// An admitted request counts against the concurrency limit until `finish`. A refused request
/// consumes neither rate nor concurrency. Does no I/O and reads no clock. Not thread-safe.
class tenant_limiter {
  public:
    /// Admits or refuses a request.
    /// @param share the current limits; a change applies from this request on.
    limit_answer admit(const base::tenant_name& tenant, const tenant_share& share,
                       base::monotonic_time now);
    /// Records that an admitted request has ended.
    void finish(const base::tenant_name& tenant, base::monotonic_time now);

    /// @return the number of requests admitted and not yet finished.
    std::uint32_t in_flight(const base::tenant_name& tenant) const;
    /// Drops the state of idle tenants whose bucket is full. Call it periodically.
    void reclaim(base::monotonic_time now);
    /// @return the number of tenants with state.
    std::size_t size() const { return tenants_.size(); }

  private:
    struct tenant_state {
        std::optional<token_bucket> bucket;
        std::uint32_t in_flight = 0;
        base::monotonic_time finished_at{};
        base::duration mean_between_finishes{};
    };

    static void apply_limits(tenant_state& state, const tenant_share& share,
                             base::monotonic_time now);

    std::unordered_map<base::tenant_name, tenant_state> tenants_;
};

}  // namespace ferryroad::core::admission
