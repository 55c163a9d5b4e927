/// @file
/// Interface to tenant limits, which apply to all routers together: the share that this router may
/// admit on its own, and the requests that have to be counted globally.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/core/admission/tenant_limiter.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/runtime/task.hpp"

namespace ferryroad::router {

/// Quota of the tenants. Used from the event loop's thread only.
class tenant_quota {
  public:
    virtual ~tenant_quota() = default;
    /// @param limits the tenant's limits over all routers.
    /// @return what this router may currently admit on its own.
    virtual core::admission::tenant_share share_of(const base::tenant_name& tenant,
                                                   const catalog::tenant_limits& limits) = 0;
    /// Counts a request against the limits over all routers.
    /// @return whether the request is admitted.
    virtual runtime::task<core::admission::limit_answer> count(base::tenant_name tenant,
                                                               catalog::tenant_limits limits) = 0;
};

/// Applies the whole limit at this router. Correct only if it is the only router.
class single_router_quota final : public tenant_quota {
  public:
    core::admission::tenant_share share_of(const base::tenant_name&,
                                           const catalog::tenant_limits& limits) override {
        return {limits.requests_per_second, limits.request_burst, limits.concurrent_requests};
    }
    runtime::task<core::admission::limit_answer> count(base::tenant_name,
                                                       catalog::tenant_limits) override {
        co_return core::admission::limit_answer{};
    }
};

/// Counts the request rate over all routers through the quota service. The limit of concurrent
/// requests applies to each router separately.
class fleet_quota final : public tenant_quota {
  public:
    /// @param quotas must outlive this object.
    /// @param configuration must outlive this object.
    fleet_quota(quotas::quota_service& quotas, const configuration_view& configuration)
        : quotas_(quotas), configuration_(configuration) {}

    core::admission::tenant_share share_of(const base::tenant_name&,
                                           const catalog::tenant_limits& limits) override {
        return {0, 0, limits.concurrent_requests};
    }
    runtime::task<core::admission::limit_answer> count(base::tenant_name tenant,
                                                       catalog::tenant_limits limits) override;

  private:
    quotas::quota_service& quotas_;
    const configuration_view& configuration_;
};

}  // namespace ferryroad::router
