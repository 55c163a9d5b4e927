/// @file
/// Constants of engine selection.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/import_limiter.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstddef>

namespace ferryroad::router::selection {

struct selection_tunables {
    /// Decisions kept for `explain`.
    std::size_t decisions_kept = 512;
    /// What a move of warm state is taken to last; 'allowed' turns moves on.
    core::routing::import_estimate import{true, std::chrono::milliseconds(10),
                                          std::chrono::milliseconds(20)};
    core::routing::import_limits import_limits;
    /// What a caller is told where the pool has no live engine.
    base::duration retry_after_no_engine = std::chrono::seconds(1);
    /// Bounds of what a caller is told where no engine can meet the deadline.
    base::duration shortest_retry_after = std::chrono::milliseconds(100);
    base::duration longest_retry_after = std::chrono::seconds(30);
};

inline constexpr selection_tunables default_selection_tunables{};

}  // namespace ferryroad::router::selection
