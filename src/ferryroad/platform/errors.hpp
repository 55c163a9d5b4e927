/// @file
/// Errors of the platform's services.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>
#include <string>

namespace ferryroad::platform {

/// Why a call failed, and whether it can have had an effect.
enum class error_code {
    unavailable,        ///< No connection or an outage; the call had no effect.
    rate_limited,       ///< Refused by the rate limit; the call had no effect.
    answer_lost,        ///< Sent without a usable response; the change may have taken effect.
    not_found,          ///< The object doesn't exist.
    protocol_violation  ///< The response doesn't conform to the protocol.
};

/// A failed call.
struct error {
    error_code code{};
    std::string message;
    std::optional<base::duration> retry_after;  ///< With `rate_limited`: the delay before a retry.
};

}  // namespace ferryroad::platform
