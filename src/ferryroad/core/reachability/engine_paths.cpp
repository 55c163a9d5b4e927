#include "ferryroad/core/reachability/engine_paths.hpp"

#include <algorithm>

namespace ferryroad::core::reachability {

path_change engine_paths::heard(const base::engine_name& engine, base::monotonic_time now) {
    m_heard[engine] = now;
    m_last_heard = now;
    m_failed.erase(engine);
    if (!all_lost()) {
        return path_change::none;
    }
    m_answering_since = m_answering_since.value_or(now);
    if (now - *m_answering_since < m_hold) {
        return path_change::none;
    }
    m_lost_since.reset();
    m_answering_since.reset();
    m_failed.clear();
    m_regained_at = now;
    return path_change::regained;
}

path_change engine_paths::failed(const base::engine_name& engine, base::monotonic_time began,
                                 base::monotonic_time now) {
    const auto heard = m_heard.find(engine);
    if (heard != m_heard.end() && heard->second >= began) {
        return path_change::none;
    }
    m_failed[engine] = began;
    if (all_lost()) {
        if (m_answering_since && count_failed_since_last_heard() >= m_tunables.failing_engines) {
            m_answering_since.reset();
        }
        return path_change::none;
    }
    if (count_failed_since_last_heard() < m_tunables.failing_engines) {
        return path_change::none;
    }
    m_hold = next_hold(now);
    m_lost_since = now;
    return path_change::all_lost;
}

void engine_paths::forget(const base::engine_name& engine) {
    m_heard.erase(engine);
    m_failed.erase(engine);
}

bool engine_paths::is_lost(const base::engine_name& engine) const {
    return all_lost() || has_failed(engine);
}

bool engine_paths::silent_since(base::monotonic_time when) const {
    return !m_last_heard || *m_last_heard < when;
}

std::vector<base::engine_name> engine_paths::failing() const {
    std::vector<base::engine_name> names;
    for (const auto& [name, began] : m_failed) {
        names.push_back(name);
    }
    return names;
}

std::size_t engine_paths::count_failed_since_last_heard() const {
    const auto count = std::count_if(m_failed.begin(), m_failed.end(),
                                     [&](const auto& one) { return silent_since(one.second); });
    return static_cast<std::size_t>(count);
}

base::duration engine_paths::next_hold(base::monotonic_time now) const {
    const bool relapsed = m_regained_at && now - *m_regained_at < m_tunables.relapse_within;
    if (!relapsed) {
        return {};
    }
    const base::duration lasted = now - *m_regained_at;
    return std::clamp(std::max(lasted, m_hold) * m_tunables.hold_factor, m_tunables.initial_hold,
                      m_tunables.max_hold);
}

}  // namespace ferryroad::core::reachability
