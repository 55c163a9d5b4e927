/// @file
/// A tenant's limits hold over all routers: what this router may admit by itself, and what it
/// must have counted.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/catalog/types.hpp"
#include "ferryroad/core/admission/tenant_limiter.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/runtime/task.hpp"

namespace ferryroad::router {

/// Used from the event loop's thread.
class tenant_quota {
  public:
    virtual ~tenant_quota() = default;
    /// @param limits over all routers. @return what this router may admit now by itself.
    virtual core::admission::tenant_share share_of(const base::tenant_name& tenant,
                                                   const catalog::tenant_limits& limits) = 0;
    /// Counts a request over all routers.
    virtual runtime::task<core::admission::limit_answer> count(base::tenant_name tenant,
                                                               catalog::tenant_limits limits) = 0;
};

/// The whole limit at this router: right where it is the only one.
class whole_quota final : public tenant_quota {
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

/// The rate is counted once over all routers; requests at work are counted by each router.
class fleet_quota final : public tenant_quota {
  public:
    /// Both outlive it.
    fleet_quota(quotas::quota_service& quotas, const configuration_view& configuration)
        : m_quotas(quotas), m_configuration(configuration) {}

    core::admission::tenant_share share_of(const base::tenant_name&,
                                           const catalog::tenant_limits& limits) override {
        return {0, 0, limits.concurrent_requests};
    }
    runtime::task<core::admission::limit_answer> count(base::tenant_name tenant,
                                                       catalog::tenant_limits limits) override;

  private:
    quotas::quota_service& m_quotas;
    const configuration_view& m_configuration;
};

}  // namespace ferryroad::router
