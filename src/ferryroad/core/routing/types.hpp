/// @file
/// What a routing policy is asked and what it answers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::core::routing {

/// An engine that may get the request.
struct candidate {
    base::engine_name engine;
    base::incarnation incarnation;
    /// Estimated time until a new request's own prefill begins.
    base::duration queue_wait{};
    double prefill_tokens_per_second = 0;  ///< 0: not known.
    std::uint32_t outstanding = 0;         ///< Requests queued or running there.
    std::uint32_t cached_pieces = 0;       ///< Leading pieces it is believed to hold.
};

/// What moving warm state between engines is believed to take.
struct import_estimate {
    bool allowed = false;
    base::duration fixed{};      ///< Paid once a move.
    base::duration per_piece{};  ///< Export, transfer and import of one piece.
};

/// One request to be placed.
struct routing_query {
    core::prefix::piece_chain pieces;  ///< Leading whole pieces, root first; may be empty.
    std::uint64_t prompt_tokens = 0;
    std::uint32_t piece_tokens = 0;
    /// Seconds that one second of avoidable prefill is worth. 1 weighs time to first token
    /// alone; less counts as 1.
    double recompute_price = 1.0;
    import_estimate import;
    /// The first token is worth nothing later than this.
    base::duration time_left = base::duration::max();
    std::vector<candidate> candidates;  ///< In any order; names are unique.
};

/// One weighed candidate's figures.
struct candidate_figures {
    std::size_t candidate = 0;  ///< Position in `routing_query::candidates`.
    std::uint32_t cached_pieces = 0;
    std::uint32_t imported_pieces = 0;  ///< Moved in before the request; 0: no move.
    base::duration queue_wait{};
    base::duration prefill{};  ///< Of what is neither cached nor imported.
    base::duration import{};
    base::duration cost{};  ///< What was compared: the least wins.
};

/// Pieces to move to the chosen engine before it gets the request.
struct import_plan {
    std::size_t source = 0;  ///< Position in `routing_query::candidates`.
    std::uint32_t pieces = 0;
};

struct decision {
    std::size_t chosen = 0;  ///< Position in `routing_query::candidates`.
    base::duration expected_first_token{};
    std::optional<import_plan> import;
    std::vector<candidate_figures> considered;  ///< Holds the chosen one, in no order.
};

}  // namespace ferryroad::core::routing
