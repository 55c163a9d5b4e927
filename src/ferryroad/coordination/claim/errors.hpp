/// @file
/// Errors reported when a stored claim can't be decoded.
#pragma once

#include <string>

namespace ferryroad::coordination::claim {

/// Not a claim record.
enum class record_error_code {
    malformed,
    unknown_format,  ///< Written by an incompatible version of this library.
};

/// Error object of `decode`.
struct record_error {
    record_error_code code{};
    std::string message;
};

}  // namespace ferryroad::coordination::claim
