#include "ferryroad/coordination/rollout/rollout_pace.hpp"

#include <algorithm>
#include <cmath>

namespace ferryroad::coordination::rollout {

void rollout_pace::loaded(base::duration took) {
    const double newest = base::to_seconds(took) * m_tunables.newest_weight;
    const double before = base::to_seconds(m_load_time) * (1 - m_tunables.newest_weight);
    m_load_time = base::from_seconds(newest + before);
}

double rollout_pace::usual_count(std::size_t total) const {
    return std::round(static_cast<double>(total) * m_tunables.usual_share);
}

double rollout_pace::needed(std::size_t waiting, base::duration left) const {
    const double after_this = base::to_seconds(left) / base::to_seconds(m_load_time);
    const double rounds = 1 + std::max(0.0, after_this);
    return std::ceil(static_cast<double>(waiting) / rounds);
}

std::size_t rollout_pace::allowed(std::size_t total, std::size_t waiting,
                                  base::duration left) const {
    const double few = usual_count(total);
    const double many = std::max(few, static_cast<double>(max_loading(total)));
    return static_cast<std::size_t>(std::max(1.0, std::clamp(needed(waiting, left), few, many)));
}

bool rollout_pace::is_behind_schedule(std::size_t total, std::size_t waiting,
                                      base::duration left) const {
    return needed(waiting, left) > std::max(1.0, usual_count(total));
}

std::size_t rollout_pace::max_loading(std::size_t total) const {
    const double share = std::floor(static_cast<double>(total) * m_tunables.max_share);
    return static_cast<std::size_t>(std::max({1.0, usual_count(total), share}));
}

std::size_t rollout_pace::max_exposed(std::size_t total, double elapsed_share) const {
    const double later = (1 - m_tunables.max_share) * std::clamp(elapsed_share, 0.0, 1.0);
    const double exposed = static_cast<double>(total) * (m_tunables.max_share + later);
    return std::max(max_loading(total), static_cast<std::size_t>(exposed));
}

}  // namespace ferryroad::coordination::rollout
