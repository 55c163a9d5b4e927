/// @file
/// Errors found while reading settings. Each names the source and the field, so that the operator
/// can find the setting to correct.
#pragma once

#include <string>

namespace ferryroad::settings {

/// One invalid, unknown or missing setting.
struct error {
    std::string source;    ///< The file, or "command line".
    std::string field;     ///< Empty where the error concerns the whole file.
    std::string value;     ///< The value found, as JSON; empty where missing.
    std::string expected;  ///< Description of the accepted values.

    /// @return `SOURCE: field "x": value V: expected ...`.
    std::string to_string() const;
};

}  // namespace ferryroad::settings
