#include "ferryroad/core/admission/tenant_limiter.hpp"

#include "ferryroad/core/admission/tunables.hpp"

#include <algorithm>

namespace ferryroad::core::admission {

namespace {

double burst_of(const tenant_share& share) {
    const double burst = share.request_burst > 0 ? share.request_burst : share.requests_per_second;
    return std::max(burst, 1.0);
}

base::duration bounded_retry_after(base::duration wanted) {
    return std::clamp(wanted, default_admission_tunables.shortest_retry_after,
                      default_admission_tunables.longest_retry_after);
}

}  // namespace

limit_answer tenant_limiter::admit(const base::tenant_name& tenant, const tenant_share& share,
                                   base::monotonic_time now) {
    tenant_state& state = tenants_[tenant];
    apply_limits(state, share, now);
    if (share.concurrent_requests > 0 && state.in_flight >= share.concurrent_requests) {
        return {limit_verdict::over_concurrency, bounded_retry_after(state.mean_between_finishes)};
    }
    if (state.bucket && !state.bucket->take(now)) {
        return {limit_verdict::over_rate, state.bucket->time_until_token(now)};
    }
    ++state.in_flight;
    return {limit_verdict::admitted, {}};
}

void tenant_limiter::finish(const base::tenant_name& tenant, base::monotonic_time now) {
    const auto known = tenants_.find(tenant);
    if (known == tenants_.end() || known->second.in_flight == 0) {
        return;
    }
    tenant_state& state = known->second;
    --state.in_flight;
    if (state.finished_at != base::monotonic_time{}) {
        const double weight = default_admission_tunables.finish_interval_weight;
        const double interval = base::to_seconds(now - state.finished_at);
        const double mean = base::to_seconds(state.mean_between_finishes);
        state.mean_between_finishes = base::from_seconds(mean + weight * (interval - mean));
    }
    state.finished_at = now;
}

std::uint32_t tenant_limiter::in_flight(const base::tenant_name& tenant) const {
    const auto known = tenants_.find(tenant);
    return known == tenants_.end() ? 0 : known->second.in_flight;
}

void tenant_limiter::reclaim(base::monotonic_time now) {
    std::erase_if(tenants_, [now](const auto& each) {
        const tenant_state& state = each.second;
        return state.in_flight == 0 && (!state.bucket || state.bucket->full(now));
    });
}

void tenant_limiter::apply_limits(tenant_state& state, const tenant_share& share,
                                  base::monotonic_time now) {
    if (share.requests_per_second <= 0) {
        state.bucket.reset();
        return;
    }
    const double burst = burst_of(share);
    if (state.bucket) {
        state.bucket->change(share.requests_per_second, burst, now);
    } else {
        state.bucket.emplace(share.requests_per_second, burst, now);
    }
}

}  // namespace ferryroad::core::admission
