#include "ferryroad/coordination/rollout/rollout_pace.hpp"

#include <algorithm>
#include <cmath>

namespace ferryroad::coordination::rollout {

void rollout_pace::loaded(base::duration took) {
    const double newest = base::to_seconds(took) * m_tunables.newest_weight;
    const double before = base::to_seconds(m_load_time) * (1 - m_tunables.newest_weight);
    m_load_time = base::from_seconds(newest + before);
}

std::size_t rollout_pace::allowed(std::size_t total, std::size_t waiting,
                                  base::duration left) const {
    const auto engines = static_cast<double>(total);
    const double usual = std::round(engines * m_tunables.usual_share);
    const double most = std::max(usual, std::floor(engines * m_tunables.most_share));
    const double after_this = base::to_seconds(left) / base::to_seconds(m_load_time);
    const double rounds = 1 + std::max(0.0, after_this);
    const double needed = std::ceil(static_cast<double>(waiting) / rounds);
    return static_cast<std::size_t>(std::max(1.0, std::clamp(needed, usual, most)));
}

}  // namespace ferryroad::coordination::rollout
