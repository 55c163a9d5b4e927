#include "ferryroad/core/prefix/ownership.hpp"

#include "ferryroad/base/hash.hpp"

#include <cstdint>

namespace ferryroad::core::prefix {

namespace {

/// @return the index of the router with the highest score for `root`, other than `excluded`.
std::optional<std::size_t> highest(base::piece_hash root,
                                   std::span<const base::router_name> routers,
                                   std::optional<std::size_t> excluded) {
    std::optional<std::size_t> best;
    std::uint64_t best_score = 0;
    for (std::size_t position = 0; position < routers.size(); ++position) {
        if (position == excluded) {
            continue;
        }
        const std::uint64_t score = base::rendezvous_score(root.value, routers[position].value);
        const bool higher = !best || score > best_score ||
                            (score == best_score && routers[position] < routers[*best]);
        if (higher) {
            best = position;
            best_score = score;
        }
    }
    return best;
}

}  // namespace

std::optional<root_owners> owners_of(base::piece_hash root,
                                     std::span<const base::router_name> routers) {
    const auto owner = highest(root, routers, std::nullopt);
    if (!owner) {
        return std::nullopt;
    }
    return root_owners{*owner, highest(root, routers, owner)};
}

}  // namespace ferryroad::core::prefix
