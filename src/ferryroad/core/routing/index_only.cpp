#include "ferryroad/core/routing/index_only.hpp"

#include "ferryroad/core/routing/estimate.hpp"

namespace ferryroad::core::routing {

namespace {

bool better(const candidate& left, const candidate& right) {
    if (left.cached_pieces != right.cached_pieces) {
        return left.cached_pieces > right.cached_pieces;
    }
    return left.queue_wait < right.queue_wait;
}

}  // namespace

std::optional<decision> index_only::choose(const routing_query& query,
                                           base::random_source& /*random*/) {
    if (query.candidates.empty()) {
        return std::nullopt;
    }
    std::size_t chosen = 0;
    for (std::size_t position = 1; position < query.candidates.size(); ++position) {
        if (better(query.candidates[position], query.candidates[chosen])) {
            chosen = position;
        }
    }
    return decide_without_import(query, chosen);
}

}  // namespace ferryroad::core::routing
