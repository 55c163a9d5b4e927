/// @file
/// Each tenant's rate and concurrency at this router.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/admission/token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace ferryroad::core::admission {

/// What this router may admit for one tenant; 0 means unlimited. The share of a limit that
/// holds over all routers comes from the tenant's quota.
struct tenant_share {
    double requests_per_second = 0;
    double request_burst = 0;  ///< 0: one second's worth, at least 1.
    std::uint32_t concurrent_requests = 0;
};

enum class limit_verdict { admitted, over_rate, over_concurrency };

struct limit_answer {
    limit_verdict verdict{};
    /// When to come back; 0 where admitted.
    base::duration retry_after{};
};

/// Pure: (state, tenant, now) to a verdict. An admitted request holds one place until
/// `finish`. A refused one takes nothing.
class tenant_limiter {
  public:
    /// @param share in force now; a change applies from this request on.
    limit_answer admit(const base::tenant_name& tenant, const tenant_share& share,
                       base::monotonic_time now);
    /// An admitted request has ended.
    void finish(const base::tenant_name& tenant, base::monotonic_time now);

    /// @return requests admitted and not yet finished.
    std::uint32_t in_flight(const base::tenant_name& tenant) const;
    /// Drops tenants of which nothing need be remembered. Called now and then.
    void reclaim(base::monotonic_time now);
    /// @return tenants remembered.
    std::size_t size() const { return tenants_.size(); }

  private:
    struct tenant_state {
        std::optional<token_bucket> bucket;
        std::uint32_t in_flight = 0;
        base::monotonic_time finished_at{};
        base::duration mean_between_finishes{};
    };

    static void apply(tenant_state& state, const tenant_share& share, base::monotonic_time now);

    std::unordered_map<base::tenant_name, tenant_state> tenants_;
};

}  // namespace ferryroad::core::admission
