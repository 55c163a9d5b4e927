/// @file
/// Estimates of waiting and prefill that all policies share.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstdint>

namespace ferryroad::core::routing {

/// An engine's load as last reported, with what is known to have been sent there since.
struct reported_load {
    std::uint64_t queued_prefill_tokens = 0;
    double prefill_tokens_per_second = 0;  ///< 0: not known.
    base::duration age{};                  ///< Since the figures were true.
    std::uint64_t prefill_tokens_since = 0;
};

/// @return time until the engine has prefilled all that is queued: what it reported, less
/// what it has worked off since, plus known dispatches since.
base::duration estimate_queue_wait(const reported_load& load);

/// @return the candidate's prefill rate, or the default where it is not known.
double prefill_rate(const candidate& engine);

/// @return prefill of the prompt with `ready_pieces` leading pieces cached or imported.
base::duration estimate_prefill(const routing_query& query, const candidate& engine,
                                std::uint32_t ready_pieces);

/// @return tokens to prefill with `ready_pieces` leading pieces at hand.
std::uint64_t missing_tokens(const routing_query& query, std::uint32_t ready_pieces);

/// @return figures of the candidate at `position` without import, its cost being the
/// estimated time to first token.
candidate_figures estimate_figures(const routing_query& query, std::size_t position);

/// @return the decision for `position` with figures by time to first token alone.
decision decide_without_import(const routing_query& query, std::size_t position);

}  // namespace ferryroad::core::routing
