#include "ferryroad/core/canary/exposure_budget.hpp"

#include <algorithm>

namespace ferryroad::core::canary {

bool exposure_budget::take(const base::route_name& route) {
    ++m_requests;
    double& saved = m_saved[route];
    saved += m_tunables.share;
    const bool allowed = saved >= 1;
    if (allowed) {
        saved -= 1;
        ++m_exposed;
    }
    saved = std::min(saved, m_tunables.most_saved);
    return allowed;
}

void exposure_budget::give_back(const base::route_name& route) {
    if (m_exposed == 0) {
        return;
    }
    --m_exposed;
    double& saved = m_saved[route];
    saved = std::min(saved + 1, m_tunables.most_saved);
}

}  // namespace ferryroad::core::canary
