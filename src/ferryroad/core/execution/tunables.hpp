/// @file
/// Limits of one request's execution, in one place.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::core::execution {

struct tunables {
    std::uint32_t attempts = 4;             ///< Dispatches for one request, the first included.
    std::uint32_t resumes_per_attempt = 2;  ///< In a row, without a token between them.
    std::uint32_t overloaded_refusals = 2;  ///< Engines asked before the pool counts as full.
    /// When to come back, where nobody said a better time.
    base::duration retry_after = std::chrono::seconds(1);
};

}  // namespace ferryroad::core::execution
