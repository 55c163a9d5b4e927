/// @file
/// Errors of the catalog: each names the resource, the field, what stood there and what was
/// expected, so that an operator can mend the file without reading code.
#pragma once

#include <string>
#include <vector>

namespace ferryroad::catalog {

enum class error_code {
    malformed_json,
    missing_field,
    unknown_field,
    wrong_type,
    invalid_value,
    duplicate,         ///< Two resources share what must be unique.
    unknown_reference  ///< Names a resource that isn't declared.
};

/// One fault in one field.
struct error {
    error_code code{};
    std::string resource;  ///< Such as "route/alerts", or "tenants[2]" where it has no name.
    std::string field;     ///< Empty where the resource as a whole is at fault.
    std::string value;     ///< What stood there, as JSON; empty where nothing did.
    std::string expected;

    /// @return such as: route/alerts: field "pool": value "x": expected the name of a pool
    std::string to_string() const;

    friend bool operator==(const error&, const error&) = default;
};

/// Error object of `leaf::result` in this layer: every fault found, at least one.
struct invalid_catalog {
    std::vector<error> faults;

    /// @return one fault a line.
    std::string to_string() const;
};

}  // namespace ferryroad::catalog
