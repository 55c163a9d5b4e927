/// @file
/// Rendezvous order of candidates for a piece. It is the same at all routers, and when an engine
/// leaves, only its own keys move.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::routing {

/// @return the positions of the candidates with the `count` highest scores for `key`, highest
/// first.
std::vector<std::size_t> rendezvous_order(const std::vector<candidate>& candidates,
                                          base::piece_hash key, std::size_t count);

/// @return the piece in the middle of the chain. For an empty chain it is random, since prompts
/// without a complete piece share no state.
base::piece_hash middle_piece(const core::prefix::piece_chain& pieces, base::random_source& random);

}  // namespace ferryroad::core::routing
