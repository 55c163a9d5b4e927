/// @file
/// What changes from one catalog to another.
#pragma once

#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ferryroad::catalog {

/// One resource that isn't the same on both sides; texts are canonical JSON.
struct difference {
    resource_key resource;
    std::optional<std::string> before;  ///< Nothing where it was added.
    std::optional<std::string> after;   ///< Nothing where it was removed.

    friend bool operator==(const difference&, const difference&) = default;
};

/// @return what differs, by resource key.
std::vector<difference> find_differences(const resource_texts& before, const resource_texts& after);
std::vector<difference> find_differences(const catalog& before, const catalog& after);

}  // namespace ferryroad::catalog
