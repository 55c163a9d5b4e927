#include "ferryroad/core/placement/engine_health.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

void engine_health::record_success() {
    m_failure_share *= 1.0 - m_tunables.outcome_weight;
    if (m_failure_share < m_tunables.failure_share / 4) {
        m_suspension = m_tunables.first_suspension;
    }
}

void engine_health::record_failure(bool certain, base::monotonic_time now) {
    if (suspended(now)) {
        return;  // One fault seen by several requests at once.
    }
    m_failure_share += (1.0 - m_failure_share) * m_tunables.outcome_weight;
    if (!certain && m_failure_share < m_tunables.failure_share) {
        return;
    }
    m_suspended_until = now + m_suspension;
    m_suspension = std::min(2 * m_suspension, m_tunables.longest_suspension);
}

}  // namespace ferryroad::core::placement
