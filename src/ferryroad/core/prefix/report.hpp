/// @file
/// What routers tell the owner of a prefix root.
#pragma once

#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"

#include <cstdint>

namespace ferryroad::core::prefix {

enum class prefix_change {
    held,        ///< The process holds, or is about to hold, the pieces.
    evicted,     ///< The process dropped the pieces.
    events_lost  ///< Events of the process were lost; `pieces` is empty.
};

/// Pieces of one root at one engine. Pieces already known to the owner may be left out.
struct prefix_report {
    cache_namespace scope;
    piece_chain pieces;
    engine_process process;
    prefix_change change{};
    evidence why{};  ///< Of `held` only.
    /// Of a dispatch: prefill that it is expected to cost there; 0 where not known.
    std::uint32_t prefill_tokens = 0;
};

/// Enters a report into an index.
void apply(prefix_index& index, const prefix_report& report, base::monotonic_time now);

}  // namespace ferryroad::core::prefix
