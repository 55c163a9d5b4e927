#include "ferryroad/core/routing/rendezvous_bounded.hpp"

#include "ferryroad/core/routing/estimate.hpp"
#include "ferryroad/core/routing/rendezvous_order.hpp"
#include "ferryroad/core/routing/tunables.hpp"

#include <algorithm>

namespace ferryroad::core::routing {

namespace {

base::duration longest_wait_allowed(const std::vector<candidate>& candidates) {
    double total_seconds = 0;
    for (const candidate& engine : candidates) {
        total_seconds += base::to_seconds(engine.queue_wait);
    }
    const double mean_seconds = total_seconds / static_cast<double>(candidates.size());
    return base::from_seconds(mean_seconds * default_routing_tunables.bounded_load_factor) +
           default_routing_tunables.bounded_load_slack;
}

}  // namespace

std::optional<decision> rendezvous_bounded::choose(const routing_query& query,
                                                   base::random_source& random) {
    const auto& candidates = query.candidates;
    if (candidates.empty()) {
        return std::nullopt;
    }
    const base::duration bound = longest_wait_allowed(candidates);
    const auto order = rendezvous_order(candidates, middle_piece(query.pieces, random),
                                        default_routing_tunables.bounded_load_choices);
    const auto within = std::find_if(order.begin(), order.end(), [&](std::size_t position) {
        return candidates[position].queue_wait <= bound;
    });
    if (within != order.end()) {
        return decide_without_import(query, *within);
    }
    const auto shortest =
        std::min_element(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return candidates[left].queue_wait < candidates[right].queue_wait;
        });
    return decide_without_import(query, *shortest);
}

}  // namespace ferryroad::core::routing
