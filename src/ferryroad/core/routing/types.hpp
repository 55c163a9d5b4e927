/// @file
/// Queries to routing policies and their decisions.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::core::routing {

/// An engine that the request may be routed to.
struct candidate {
    base::engine_name engine;
    base::incarnation incarnation;
    /// Estimated time until the prefill of a new request starts.
    base::duration queue_wait{};
    double prefill_tokens_per_second = 0;  ///< 0: not known.
    std::uint32_t outstanding = 0;         ///< Requests queued or running at the engine.
    std::uint32_t cached_pieces = 0;       ///< Leading pieces that it is assumed to cache.
};

/// Estimated time to import cached state from another engine.
struct import_estimate {
    bool allowed = false;
    base::duration fixed{};      ///< Fixed time of an import.
    base::duration per_piece{};  ///< Time to export, transfer and import one piece.
};

/// A request to be routed.
struct routing_query {
    core::prefix::piece_chain pieces;  ///< Leading complete pieces, root first; may be empty.
    std::uint64_t prompt_tokens = 0;
    std::uint32_t piece_tokens = 0;  ///< Tokens in a piece.
    /// Cost in seconds of one second of avoidable prefill. With 1 only the time to first token
    /// counts; smaller values count as 1.
    double recompute_price = 1.0;
    import_estimate import;
    /// Time until the deadline of the first token.
    base::duration time_left = base::duration::max();
    std::vector<candidate> candidates;  ///< In any order; names are unique.
};

/// Figures of one evaluated candidate.
struct candidate_figures {
    std::size_t candidate = 0;  ///< Position in `routing_query::candidates`.
    std::uint32_t cached_pieces = 0;
    std::uint32_t imported_pieces = 0;  ///< Pieces to import before the request; 0: no import.
    base::duration queue_wait{};
    base::duration prefill{};  ///< Prefill time of the pieces neither cached nor imported.
    base::duration import{};   ///< Time of the import.
    base::duration cost{};     ///< Cost of the candidate; the lowest is chosen.
};

/// Import of leading pieces into the chosen engine before it gets the request.
struct import_plan {
    std::size_t source = 0;  ///< Position in `routing_query::candidates`.
    std::uint32_t pieces = 0;
};

struct decision {
    std::size_t chosen = 0;  ///< Position in `routing_query::candidates`.
    base::duration expected_first_token{};
    std::optional<import_plan> import;
    /// The evaluated candidates, including the chosen one, in no particular order.
    std::vector<candidate_figures> considered;
};

}  // namespace ferryroad::core::routing
