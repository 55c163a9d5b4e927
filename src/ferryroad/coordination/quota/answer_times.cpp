#include "ferryroad/coordination/quota/answer_times.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryroad::coordination::quota {

void answer_times::set_routers(const std::vector<asked_router>& present) {
    std::map<base::router_name, estimate> kept;
    for (const asked_router& router : present) {
        const auto known = m_estimates.find(router.name);
        estimate& one = kept[router.name];
        if (known != m_estimates.end()) {
            one = known->second;
        }
        one.in_other_region = router.in_other_region;
    }
    m_estimates = std::move(kept);
}

void answer_times::record(const base::router_name& router, base::duration took) {
    const auto found = m_estimates.find(router);
    if (found == m_estimates.end() || took < base::duration{}) {
        return;
    }
    estimate& known = found->second;
    const double seconds = base::to_seconds(took);
    if (!known.measured) {
        known.measured = true;
        known.seconds = seconds;
        known.deviation = seconds / 2;
        return;
    }
    const double error = seconds - known.seconds;
    known.seconds += m_tunables.time_weight * error;
    known.deviation += m_tunables.deviation_weight * (std::abs(error) - known.deviation);
}

base::duration answer_times::timeout(const base::router_name& router) const {
    const auto found = m_estimates.find(router);
    if (found == m_estimates.end() || !found->second.measured) {
        const bool distant = found != m_estimates.end() && found->second.in_other_region;
        return distant ? m_tunables.unmeasured_region : m_tunables.least_margin;
    }
    const estimate& known = found->second;
    const base::duration margin = std::max(
        m_tunables.least_margin, base::from_seconds(m_tunables.deviations * known.deviation));
    return std::min(base::from_seconds(known.seconds) + margin, m_tunables.longest);
}

}  // namespace ferryroad::coordination::quota
