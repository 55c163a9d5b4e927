/// @file
/// Errors of the caller front end: requests rejected before they reach the request service.
#pragma once

#include <string>

namespace ferryroad::caller {

/// Why a request was rejected, with the HTTP status of the answer.
enum class error_code {
    malformed_body,      ///< 400
    invalid_field,       ///< 400
    invalid_header,      ///< 400
    missing_key,         ///< 401
    method_not_allowed,  ///< 405
};

/// A rejected request; `message` is sent to the caller.
struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::caller
