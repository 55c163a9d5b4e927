#include "ferryroad/core/routing/rendezvous.hpp"

#include "ferryroad/core/routing/estimate.hpp"
#include "ferryroad/core/routing/rendezvous_order.hpp"

namespace ferryroad::core::routing {

std::optional<decision> rendezvous::choose(const routing_query& query,
                                           base::random_source& random) {
    if (query.candidates.empty()) {
        return std::nullopt;
    }
    const auto order = rendezvous_order(query.candidates, middle_piece(query.pieces, random), 1);
    return decide_without_import(query, order.front());
}

}  // namespace ferryroad::core::routing
