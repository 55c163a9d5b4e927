#include "ferryroad/core/admission/slot_shares.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::admission {

void slot_shares::set_routers(std::vector<base::router_name> present) {
    std::erase(present, m_self);
    m_others = std::move(present);
}

std::uint32_t slot_shares::share_of(const base::engine_name& engine, std::uint32_t slots) const {
    const std::uint64_t key = base::hash_bytes(engine.value);
    const auto rank_of = [&](const base::router_name& router) {
        return std::pair(base::rendezvous_score(key, router.value), router);
    };
    const auto own = rank_of(m_self);
    const auto before = static_cast<std::size_t>(std::count_if(
        m_others.begin(), m_others.end(), [&](const auto& other) { return rank_of(other) > own; }));
    const std::size_t routers = m_others.size() + 1;
    return static_cast<std::uint32_t>(slots / routers + (before < slots % routers ? 1 : 0));
}

}  // namespace ferryroad::core::admission
