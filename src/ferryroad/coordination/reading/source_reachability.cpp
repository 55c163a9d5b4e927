#include "ferryroad/coordination/reading/source_reachability.hpp"

#include <algorithm>

namespace ferryroad::coordination::reading {

void source_reachability::declare(const std::vector<tree_member>& members) {
    const std::size_t gone = std::erase_if(m_routers, [&](const auto& entry) {
        return std::none_of(members.begin(), members.end(),
                            [&](const tree_member& one) { return one.name == entry.first; });
    });
    m_revision += gone;
}

bool source_reachability::is_available(const source& from, base::monotonic_time now) const {
    if (!from) {
        return now >= m_owner.until;
    }
    const auto known = m_routers.find(*from);
    return known == m_routers.end() || now >= known->second.until;
}

void source_reachability::answered(const source& from) {
    if (from) {
        m_revision += m_routers.erase(*from);
    } else {
        m_owner = {};
    }
}

void source_reachability::failed(const source& from, reading_role role, base::monotonic_time now) {
    const double jitter = 0.75 + 0.5 * m_random.unit();
    if (from) {
        ++m_revision;
        extend(m_routers[*from], m_settings.first_exclusion, m_settings.longest_exclusion, now,
               jitter);
        return;
    }
    const base::duration longest = role == reading_role::reader ? m_settings.longest_reader_pause
                                                                : m_settings.longest_owner_pause;
    extend(m_owner, m_settings.first_owner_pause, longest, now, jitter);
}

void source_reachability::extend(exclusion& one, base::duration first, base::duration longest,
                                 base::monotonic_time now, double jitter) {
    const base::duration pause = std::min(std::max(one.next, first), longest);
    one.until = now + base::from_seconds(base::to_seconds(pause) * jitter);
    one.next = 2 * pause;
}

base::monotonic_time source_reachability::next_readmission(base::monotonic_time now) const {
    base::monotonic_time next = base::monotonic_time::max();
    for (const auto& [name, one] : m_routers) {
        next = one.until > now ? std::min(next, one.until) : next;
    }
    return next;
}

source source_reachability::first_readmitted(const std::vector<tree_member>& others) const {
    source first;
    base::monotonic_time earliest = m_owner.until;
    for (const tree_member& one : others) {
        const auto known = m_routers.find(one.name);
        if (known != m_routers.end() && known->second.until < earliest) {
            earliest = known->second.until;
            first = one.name;
        }
    }
    return first;
}

}  // namespace ferryroad::coordination::reading
