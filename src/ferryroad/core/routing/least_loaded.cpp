#include "ferryroad/core/routing/least_loaded.hpp"

#include "ferryroad/core/routing/estimate.hpp"

#include <tuple>

namespace ferryroad::core::routing {

std::optional<decision> least_loaded::choose(const routing_query& query,
                                             base::random_source& random) {
    if (query.candidates.empty()) {
        return std::nullopt;
    }
    const auto load_of = [&query](std::size_t position) {
        const candidate& engine = query.candidates[position];
        return std::tuple(engine.queue_wait, engine.outstanding);
    };
    std::size_t chosen = 0;
    std::uint64_t equals = 1;
    for (std::size_t position = 1; position < query.candidates.size(); ++position) {
        if (load_of(position) < load_of(chosen)) {
            chosen = position;
            equals = 1;
        } else if (load_of(position) == load_of(chosen) && random.below(++equals) == 0) {
            chosen = position;
        }
    }
    return decide_without_import(query, chosen);
}

}  // namespace ferryroad::core::routing
