/// @file
/// Assignment of prefix roots to the routers that keep their shared index.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace ferryroad::core::prefix {

/// Owners of a root, as indices in the list of routers.
struct root_owners {
    std::size_t owner = 0;
    /// Becomes the owner when the owner leaves, and keeps a copy of the index until then.
    std::optional<std::size_t> standby;
};

/// Assigns owners by rendezvous hashing. Routers with the same view of the live routers agree on
/// the owners, and only roots of a router that joins or leaves are moved. Thread-safe.
/// @param routers names of the live routers.
/// @return the owners; nothing if there are no routers.
std::optional<root_owners> owners_of(base::piece_hash root,
                                     std::span<const base::router_name> routers);

}  // namespace ferryroad::core::prefix
