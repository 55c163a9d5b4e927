#include "ferryroad/core/placement/engine_health.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

void engine_health::record_success() {
    m_failure_share *= 1.0 - m_tunables.outcome_weight;
    if (m_failure_share < m_tunables.failure_share / 4) {
        m_suspension = m_tunables.initial_suspension;
    }
}

void engine_health::record_failure(bool certain, base::monotonic_time now) {
    if (suspended(now)) {
        return;  // Several requests fail because of the same fault.
    }
    m_failure_share += (1.0 - m_failure_share) * m_tunables.outcome_weight;
    if (!certain && m_failure_share < m_tunables.failure_share) {
        return;
    }
    m_suspended_until = now + m_suspension;
    m_suspension = std::min(2 * m_suspension, m_tunables.max_suspension);
}

}  // namespace ferryroad::core::placement
