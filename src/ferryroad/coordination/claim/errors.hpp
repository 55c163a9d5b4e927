/// @file
/// Errors of reading stored claims.
#pragma once

#include <string>

namespace ferryroad::coordination::claim {

enum class record_error_code {
    malformed,       ///< No record at all.
    unknown_format,  ///< Written by another version of this library.
};

struct record_error {
    record_error_code code{};
    std::string message;
};

}  // namespace ferryroad::coordination::claim
