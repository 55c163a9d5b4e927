/// @file
/// Limits of one request's execution, in one place.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <limits>

namespace ferryroad::core::execution {

struct tunables {
    std::uint32_t attempts = 4;  ///< Dispatches for one request, the first included.
    /// Of these, those that ran or may have run.
    std::uint32_t executions = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t resumes_per_attempt = 2;  ///< In a row, without a token between them.
    std::uint32_t overloaded_refusals = 2;  ///< Engines asked before the pool counts as full.
    /// Whether going on elsewhere after a refusal for stale knowledge spends no retry budget.
    bool stale_target_is_free = true;
    /// When to come back, where nobody said a better time.
    base::duration retry_after = std::chrono::seconds(1);
};

}  // namespace ferryroad::core::execution
