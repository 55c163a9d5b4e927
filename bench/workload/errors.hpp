/// @file
/// Errors of reading a workload file.
#pragma once

#include <string>

namespace ferryroad::bench::workload {

enum class error_code {
    unreadable,  ///< The file can't be read.
    malformed,   ///< Not JSON.
    invalid      ///< A field is missing, unknown, of another type or out of range.
};

/// Prints as `FILE: message`; the message names field, value and what was expected.
struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::bench::workload
