/// @file
/// Errors of the platform's services.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>
#include <string>

namespace ferryroad::platform {

enum class error_code {
    unavailable,   ///< No connection or an outage: nothing was changed.
    rate_limited,  ///< Refused by the rate limit: nothing was changed.
    answer_lost,   ///< Sent, no answer: the change may have taken effect.
    not_found,
    protocol_violation
};

struct error {
    error_code code{};
    std::string message;
    std::optional<base::duration> retry_after;
};

}  // namespace ferryroad::platform
