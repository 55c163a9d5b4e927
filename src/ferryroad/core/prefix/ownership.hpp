/// @file
/// Which router keeps the shared index of a prefix root.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace ferryroad::core::prefix {

/// Positions in the list of routers asked about.
struct root_owners {
    std::size_t owner = 0;
    /// Becomes the owner if the owner goes, and keeps the same index until then.
    std::optional<std::size_t> standby;
};

/// Rendezvous hashing: routers that agree on who lives agree on the owners, and only roots of
/// a lost or new router move.
/// @return nothing where there is no router.
std::optional<root_owners> owners_of(base::piece_hash root,
                                     std::span<const base::router_name> routers);

}  // namespace ferryroad::core::prefix
