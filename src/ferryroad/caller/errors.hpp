/// @file
/// Errors of the caller front: a request that never reached the request service.
#pragma once

#include <string>

namespace ferryroad::caller {

enum class error_code {
    malformed_body,      ///< 400
    invalid_field,       ///< 400
    invalid_header,      ///< 400
    missing_key,         ///< 401
    method_not_allowed,  ///< 405
};

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::caller
