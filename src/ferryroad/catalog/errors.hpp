/// @file
/// Errors of the catalog. Each names the resource, the field, the value found and the values
/// accepted, so that an operator can correct the file.
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
    duplicate,         ///< Two resources share a value that must be unique.
    unknown_reference  ///< Names a resource that isn't declared.
};

/// An error in one field.
struct error {
    error_code code{};
    std::string resource;  ///< Such as "route/alerts", or "tenants[2]" where it has no name.
    std::string field;     ///< Empty where the error concerns the whole resource.
    std::string value;     ///< The value found, as JSON; empty where missing.
    std::string expected;

    /// @return such as: route/alerts: field "pool": value "x": expected the name of a pool
    std::string to_string() const;

    friend bool operator==(const error&, const error&) = default;
};

/// LEAF error object of this layer: all faults found, at least one.
struct invalid_catalog {
    std::vector<error> faults;

    /// @return the faults, one per line.
    std::string to_string() const;
};

}  // namespace ferryroad::catalog
