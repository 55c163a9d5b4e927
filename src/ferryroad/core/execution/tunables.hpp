/// @file
/// Limits for the execution of one request.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <limits>

namespace ferryroad::core::execution {

struct tunables {
    std::uint32_t attempts = 4;  ///< Maximum number of dispatches, including the first.
    /// Maximum number of dispatches that ran or may have run.
    std::uint32_t executions = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t max_resumes_per_attempt = 2;  ///< Maximum of consecutive resumes without a token.
    std::uint32_t max_overloaded_refusals = 2;  ///< Refusals after which the pool counts as full.
    /// Whether a retry after `failure_kind::stale_target` is not charged to the retry budget.
    bool stale_target_retry_is_free = true;
    /// Suggested delay before a retry by the caller if no engine or store suggested one.
    base::duration retry_after = std::chrono::seconds(1);
};

}  // namespace ferryroad::core::execution
