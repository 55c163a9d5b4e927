#include "ferryroad/coordination/quota/learned_room.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

std::uint32_t learned_room::room(std::uint32_t listed, base::monotonic_time now) const {
    if (!m_room) {
        return listed;
    }
    const auto grown = static_cast<std::uint64_t>((now - m_learned_at) / m_growth_interval);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(listed, *m_room + grown));
}

void learned_room::record_rejection(std::uint32_t listed, std::uint32_t in_use,
                                    base::monotonic_time now) {
    const std::uint32_t before = room(listed, now);
    if (m_room && before > *m_room) {
        m_growth_interval = std::min(2 * m_growth_interval, m_tunables.longest_growth_interval);
    }
    const std::uint32_t highest = std::max(before, 2U) - 1;
    const std::uint32_t lowest = std::max(before / 2, 1U);
    m_room = std::clamp(in_use, std::min(lowest, highest), highest);
    m_learned_at = now;
}

}  // namespace ferryroad::coordination::quota
