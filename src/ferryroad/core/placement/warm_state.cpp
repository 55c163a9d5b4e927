#include "ferryroad/core/placement/warm_state.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

warm_state::entry& warm_state::touch(std::uint64_t hash) {
    const auto found = m_prefixes.find(hash);
    if (found != m_prefixes.end()) {
        m_by_use.splice(m_by_use.begin(), m_by_use, found->second.place);
        return found->second;
    }
    if (m_prefixes.size() >= m_tunables.prefixes) {
        m_prefixes.erase(m_by_use.back());
        m_by_use.pop_back();
    }
    m_by_use.push_front(hash);
    entry& added = m_prefixes[hash];
    added.place = m_by_use.begin();
    return added;
}

void warm_state::record(const std::vector<prefix::prefix_link>& chain,
                        const base::engine_name& engine, base::monotonic_time now) {
    for (const prefix::prefix_link& link : chain) {
        std::vector<holder>& holders = touch(link.hash.value).holders;
        const auto known = std::find_if(holders.begin(), holders.end(), [&](const holder& one) {
            return one.engine == engine;
        });
        if (known != holders.end()) {
            known->used = now;
            continue;
        }
        if (holders.size() < m_tunables.holders) {
            holders.push_back({engine, now});
            continue;
        }
        const auto oldest =
            std::min_element(holders.begin(), holders.end(), [](const holder& a, const holder& b) {
                return a.used < b.used;
            });
        *oldest = {engine, now};
    }
}

std::uint64_t warm_state::tokens_held(const std::vector<prefix::prefix_link>& chain,
                                      const base::engine_name& engine,
                                      base::monotonic_time now) const {
    std::uint64_t tokens = 0;
    for (const prefix::prefix_link& link : chain) {
        const auto found = m_prefixes.find(link.hash.value);
        if (found == m_prefixes.end()) {
            break;
        }
        const auto& holders = found->second.holders;
        const bool held = std::any_of(holders.begin(), holders.end(), [&](const holder& one) {
            return one.engine == engine && now - one.used < m_tunables.lifetime;
        });
        if (!held) {
            break;
        }
        tokens = link.tokens;
    }
    return tokens;
}

void warm_state::forget(const base::engine_name& engine) {
    for (auto& [hash, one] : m_prefixes) {
        std::erase_if(one.holders, [&](const holder& each) { return each.engine == engine; });
    }
}

}  // namespace ferryroad::core::placement
