/// @file
/// Reports of routers to the owner of a prefix root.
#pragma once

#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"

#include <cstdint>

namespace ferryroad::core::prefix {

enum class prefix_change {
    held,        ///< The process caches, or will soon cache, the pieces.
    evicted,     ///< The process evicted the pieces.
    events_lost  ///< Events of the process were lost; `pieces` is empty.
};

/// Change to the pieces of one root at one engine. Pieces that the owner knows already may be left
/// out.
struct prefix_report {
    cache_namespace scope;
    piece_chain pieces;
    engine_process process;
    prefix_change change{};
    evidence why{};  ///< Used for `held` only.
    /// Expected prefill of a dispatch in tokens; 0 if not known.
    std::uint32_t prefill_tokens = 0;
};

/// Applies a report to an index.
void apply(prefix_index& index, const prefix_report& report, base::monotonic_time now);

}  // namespace ferryroad::core::prefix
