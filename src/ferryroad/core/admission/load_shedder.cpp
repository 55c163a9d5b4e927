#include "ferryroad/core/admission/load_shedder.hpp"

#include <algorithm>

namespace ferryroad::core::admission {

std::uint64_t load_shedder::sent(base::duration target, base::monotonic_time now) {
    look(now);
    m_waiting.emplace(++m_last_number, waiting_request{now, target});
    return m_last_number;
}

void load_shedder::answered(std::uint64_t number, base::monotonic_time now) {
    look(now);
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end()) {
        return;
    }
    const double took = base::to_seconds(now - found->second.sent_at);
    if (!found->second.counted_late) {
        note(took / base::to_seconds(found->second.target));
    }
    const double before = base::to_seconds(m_delay);
    m_delay = base::from_seconds(before + m_tunables.delay_weight * (took - before));
    m_waiting.erase(found);
}

void load_shedder::ended(std::uint64_t number, base::monotonic_time now) {
    look(now);
    m_waiting.erase(number);
}

bool load_shedder::refuses(double draw, base::monotonic_time now) {
    look(now);
    return draw < refused_share();
}

double load_shedder::refused_share() const {
    const double beyond = m_pressure - m_tunables.tolerated;
    return std::clamp(beyond * m_tunables.strength, 0.0, m_tunables.most_refused);
}

/// A request is late as soon as its time has passed: its answer would say so only later.
void load_shedder::look(base::monotonic_time now) {
    const bool stood_still = now - m_looked_at > m_tunables.longest_pause;
    m_looked_at = now;
    if (stood_still) {
        m_waiting.clear();
        return;
    }
    for (auto& [number, one] : m_waiting) {
        if (!one.counted_late && now - one.sent_at > one.target) {
            one.counted_late = true;
            note(1.0);
        }
    }
}

void load_shedder::note(double part) {
    m_pressure += m_tunables.newest_weight * (std::min(part, 1.0) - m_pressure);
}

}  // namespace ferryroad::core::admission
