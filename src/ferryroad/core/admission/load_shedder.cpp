#include "ferryroad/core/admission/load_shedder.hpp"

#include <algorithm>

namespace ferryroad::core::admission {

std::uint64_t load_shedder::sent(base::duration target, base::monotonic_time now) {
    count_late(now);
    m_outstanding.emplace(++m_last_number, outstanding_request{now, target});
    return m_last_number;
}

void load_shedder::answered(std::uint64_t number, base::monotonic_time now) {
    count_late(now);
    const auto found = m_outstanding.find(number);
    if (found == m_outstanding.end()) {
        return;
    }
    const double took = base::to_seconds(now - found->second.sent_at);
    if (!found->second.counted_late) {
        add_sample(took / base::to_seconds(found->second.target));
    }
    const double before = base::to_seconds(m_delay);
    m_delay = base::from_seconds(before + m_tunables.delay_weight * (took - before));
    m_outstanding.erase(found);
}

void load_shedder::ended(std::uint64_t number, base::monotonic_time now) {
    count_late(now);
    m_outstanding.erase(number);
}

void load_shedder::forget() {
    m_outstanding.clear();
    m_pressure = 0;
    m_delay = {};
}

bool load_shedder::refuses(double draw, base::monotonic_time now) {
    count_late(now);
    return draw < refused_share();
}

double load_shedder::refused_share() const {
    const double excess = m_pressure - m_tunables.tolerated_pressure;
    return std::clamp(excess * m_tunables.refused_share_slope, 0.0, m_tunables.max_refused_share);
}

void load_shedder::count_late(base::monotonic_time now) {
    const bool suspended = now - m_last_call > m_tunables.max_call_interval;
    m_last_call = now;
    if (suspended) {
        m_outstanding.clear();
        return;
    }
    for (auto& [number, one] : m_outstanding) {
        if (!one.counted_late && now - one.sent_at > one.target) {
            one.counted_late = true;
            add_sample(1.0);
        }
    }
}

void load_shedder::add_sample(double fraction) {
    m_pressure += m_tunables.newest_weight * (std::min(fraction, 1.0) - m_pressure);
}

}  // namespace ferryroad::core::admission
