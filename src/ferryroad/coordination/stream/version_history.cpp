#include "ferryroad/coordination/stream/version_history.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::coordination::stream {

void version_history::observe(const base::pool_name& pool, std::set<software_version> versions,
                              base::monotonic_time now) {
    const auto [place, added] = m_pools.try_emplace(pool);
    pool_versions& one = place->second;
    if (added) {
        one.first_observed = now;
    } else if (versions != one.current) {
        one.others_until = now;
    }
    one.current = std::move(versions);
}

void version_history::confirm(base::monotonic_time as_of, base::duration max_gap) {
    if (!m_confirmed_at || as_of - *m_confirmed_at > max_gap) {
        m_unbroken_since = as_of;
    }
    m_confirmed_at = std::max(as_of, m_confirmed_at.value_or(as_of));
}

std::optional<base::monotonic_time> version_history::observed_since(
    const base::pool_name& pool) const {
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || !m_confirmed_at) {
        return std::nullopt;
    }
    return std::max(found->second.first_observed, m_unbroken_since);
}

std::optional<software_version> version_history::sole_version(const base::pool_name& pool,
                                                              base::duration within,
                                                              base::monotonic_time now) const {
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.current.size() != 1) {
        return std::nullopt;
    }
    const pool_versions& one = found->second;
    const bool others = one.others_until && now - *one.others_until < within;
    return others ? std::nullopt : std::optional(*one.current.begin());
}

}  // namespace ferryroad::coordination::stream
