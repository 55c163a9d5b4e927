/// @file
/// Errors reported when a stored claim can't be decoded.
#pragma once

#include <string>

namespace ferryroad::coordination::claim {

enum class record_error_code {
    malformed,       ///< Not a claim record.
    unknown_format,  ///< Written by an incompatible version of this library.
};

/// Error object of `decode`.
struct record_error {
    record_error_code code{};
    std::string message;
};

}  // namespace ferryroad::coordination::claim
