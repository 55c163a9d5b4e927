#include "ferryroad/router/request/tenant_quota.hpp"

#include "ferryroad/catalog/types.hpp"

#include <utility>

namespace ferryroad::router {

runtime::task<core::admission::limit_answer> fleet_quota::count(base::tenant_name tenant,
                                                                catalog::tenant_limits limits) {
    using core::admission::limit_verdict;
    if (limits.requests_per_second <= 0) {
        co_return core::admission::limit_answer{};
    }
    const quotas::rate_limit limit{configuration_.current()->revision, limits.requests_per_second,
                                   limits.request_burst};
    const auto decided = co_await quotas_.count(std::move(tenant), limit, 1);
    const bool granted = decided.verdict.granted;
    co_return core::admission::limit_answer{
        granted ? limit_verdict::admitted : limit_verdict::over_rate, decided.verdict.retry_after};
}

}  // namespace ferryroad::router
