/// @file
/// Limits of the caller front end.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ferryroad::caller {

/// Requests beyond these limits are rejected with status 400.
struct tunables {
    std::size_t messages = 1024;               ///< Messages in one chat request.
    std::size_t idempotency_key_bytes = 256;   ///< Length of `Idempotency-Key`.
    std::uint32_t max_tokens = 1024U * 1024U;  ///< Highest accepted `max_tokens`.
};

}  // namespace ferryroad::caller
