/// @file
/// Errors of reading settings: each names the place, so that it can be mended at once.
#pragma once

#include <string>

namespace ferryroad::settings {

/// A setting that was refused.
struct error {
    std::string source;    ///< The file, or "command line".
    std::string field;     ///< Empty where the whole file is at fault.
    std::string value;     ///< As found, empty where missing.
    std::string expected;  ///< In words.

    /// @return `SOURCE: field "x": value V: expected ...`.
    std::string to_string() const;
};

}  // namespace ferryroad::settings
