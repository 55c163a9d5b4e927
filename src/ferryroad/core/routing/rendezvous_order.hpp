/// @file
/// Candidates in rendezvous order of a piece: the same at every router, and only the lost
/// engine's keys move when one goes.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::routing {

/// @return positions of the `count` highest scores for `key`, best first.
std::vector<std::size_t> rendezvous_order(const std::vector<candidate>& candidates,
                                          base::piece_hash key, std::size_t count);

/// @return the piece in the middle of the chain; a random key for an empty one, since prompts
/// without a whole piece share nothing.
base::piece_hash middle_piece(const core::prefix::piece_chain& pieces, base::random_source& random);

}  // namespace ferryroad::core::routing
