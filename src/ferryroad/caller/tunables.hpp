/// @file
/// Limits of the caller front, in one place.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ferryroad::caller {

struct tunables {
    std::size_t messages = 1024;               ///< Most messages in one chat request.
    std::size_t idempotency_key_bytes = 256;   ///< Longest `Idempotency-Key`.
    std::uint32_t max_tokens = 1024U * 1024U;  ///< Highest `max_tokens` taken for sense.
};

}  // namespace ferryroad::caller
