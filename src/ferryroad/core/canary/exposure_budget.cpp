#include "ferryroad/core/canary/exposure_budget.hpp"

#include <algorithm>

namespace ferryroad::core::canary {

bool exposure_budget::take(const base::route_name& route) {
    ++m_requests;
    double& credit = m_credits[route];
    credit += m_tunables.share;
    const bool allowed = credit >= 1;
    if (allowed) {
        credit -= 1;
        ++m_exposed;
    }
    credit = std::min(credit, m_tunables.max_credit);
    return allowed;
}

void exposure_budget::give_back(const base::route_name& route) {
    if (m_exposed == 0) {
        return;
    }
    --m_exposed;
    double& credit = m_credits[route];
    credit = std::min(credit + 1, m_tunables.max_credit);
}

}  // namespace ferryroad::core::canary
