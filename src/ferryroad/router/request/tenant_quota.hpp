/// @file
/// A tenant's limits hold over all routers; this is the part that this router may admit.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/core/admission/tenant_limiter.hpp"

namespace ferryroad::router {

/// Used from the event loop's thread.
class tenant_quota {
  public:
    virtual ~tenant_quota() = default;
    /// @param limits over all routers. @return what this router may admit now.
    virtual core::admission::tenant_share share_of(const base::tenant_name& tenant,
                                                   const catalog::tenant_limits& limits) = 0;
};

/// The whole limit at this router: right where it is the only one.
class whole_quota final : public tenant_quota {
  public:
    core::admission::tenant_share share_of(const base::tenant_name&,
                                           const catalog::tenant_limits& limits) override {
        return {limits.requests_per_second, limits.request_burst, limits.concurrent_requests};
    }
};

}  // namespace ferryroad::router
