#include "ferryroad/coordination/stream/version_history.hpp"

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

std::optional<base::monotonic_time> version_history::first_observed(
    const base::pool_name& pool) const {
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? std::nullopt : std::optional(found->second.first_observed);
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
