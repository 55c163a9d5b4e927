/// @file
/// Settings of engine selection.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/import_limiter.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <cstddef>

namespace ferryroad::router::selection {

/// Settings of `selector`.
struct selection_tunables {
    /// Number of recent decisions available to `explain`.
    std::size_t max_logged_decisions = 512;
    /// Estimated cost of importing warm state from another engine; `allowed` enables imports.
    core::routing::import_estimate import{true, std::chrono::milliseconds(10),
                                          std::chrono::milliseconds(20)};
    core::routing::import_limits import_limits;
    /// Retry time for callers when the pool has no available engine.
    base::duration retry_after_no_engine = std::chrono::seconds(1);
    /// Bounds of the retry time for callers when no engine can meet the deadline.
    base::duration shortest_retry_after = std::chrono::milliseconds(100);
    base::duration longest_retry_after = std::chrono::seconds(30);
};

/// Default settings.
inline constexpr selection_tunables default_selection_tunables{};

}  // namespace ferryroad::router::selection
