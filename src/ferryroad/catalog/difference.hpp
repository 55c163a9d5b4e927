/// @file
/// Differences between two catalogs.
#pragma once

#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ferryroad::catalog {

/// One resource that differs between two catalogs. Its texts are canonical JSON.
struct difference {
    resource_key resource;
    std::optional<std::string> before;  ///< Empty where it was added.
    std::optional<std::string> after;   ///< Empty where it was removed.

    friend bool operator==(const difference&, const difference&) = default;
};

/// @return the differences, ordered by resource key.
std::vector<difference> find_differences(const resource_texts& before, const resource_texts& after);
std::vector<difference> find_differences(const catalog& before, const catalog& after);

}  // namespace ferryroad::catalog
