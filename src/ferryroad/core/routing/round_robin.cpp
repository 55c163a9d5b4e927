#include "ferryroad/core/routing/round_robin.hpp"

#include "ferryroad/core/routing/estimate.hpp"

namespace ferryroad::core::routing {

std::optional<decision> round_robin::choose(const routing_query& query,
                                            base::random_source& /*random*/) {
    if (query.candidates.empty()) {
        return std::nullopt;
    }
    std::optional<std::size_t> first;
    std::optional<std::size_t> following;
    for (std::size_t position = 0; position < query.candidates.size(); ++position) {
        const base::engine_name& engine = query.candidates[position].engine;
        if (!first || engine < query.candidates[*first].engine) {
            first = position;
        }
        if (engine > last_ && (!following || engine < query.candidates[*following].engine)) {
            following = position;
        }
    }
    const std::size_t chosen = following.value_or(*first);
    last_ = query.candidates[chosen].engine;
    return decide_without_import(query, chosen);
}

}  // namespace ferryroad::core::routing
