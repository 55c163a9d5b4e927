/// @file
/// Estimates of queue wait and prefill time used by all policies.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstdint>

namespace ferryroad::core::routing {

/// Last reported load of an engine, and the work known to have been dispatched to it since.
struct reported_load {
    std::uint64_t queued_prefill_tokens = 0;
    double prefill_tokens_per_second = 0;    ///< 0: not known.
    base::duration age{};                    ///< Age of the reported values.
    std::uint64_t prefill_tokens_since = 0;  ///< Tokens dispatched since the report.
};

/// @return the time until the engine has prefilled its queue: the reported work less what it has
/// processed since, plus the dispatches since.
base::duration estimate_queue_wait(const reported_load& load);

/// @return the candidate's prefill rate in tokens per second, or the default if it is not known.
double prefill_rate(const candidate& engine);

/// @return the prefill time of the prompt with `ready_pieces` leading pieces cached or imported.
base::duration estimate_prefill(const routing_query& query, const candidate& engine,
                                std::uint32_t ready_pieces);

/// @return the number of tokens to prefill with `ready_pieces` leading pieces cached or imported.
std::uint64_t missing_tokens(const routing_query& query, std::uint32_t ready_pieces);

/// @return the figures of the candidate at `position` without import. Their cost is the estimated
/// time to first token.
candidate_figures estimate_figures(const routing_query& query, std::size_t position);

/// @return the decision for the candidate at `position`, with the time to first token as its cost.
decision decide_without_import(const routing_query& query, std::size_t position);

}  // namespace ferryroad::core::routing
