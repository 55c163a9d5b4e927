/// @file
/// Decides which routers read an external table from its owner, and from which router each of the
/// others takes its copy.
///
/// All routers rank the routers in the same way, by a hash of their names. The first router of each
/// zone is the head of the zone, and the first of each region is the head of the region. The first
/// few heads of regions, and then heads of zones, read the owner. Heads of the other regions take
/// their copies from these readers, the zone heads of a region take theirs from their region's
/// head, and the routers of a zone form a tree of bounded degree below their head. A copy therefore
/// takes few hops, most of them within a zone and at most one between regions. No election is
/// needed: routers whose member lists differ for a while only read the owner more often.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::coordination::reading {

/// A router as a candidate for places in the tree.
struct tree_member {
    base::router_name name;
    base::zone_name zone;
    /// Equal for all routers if regions are not configured.
    base::region_name region;
    /// Computed equally by all routers; the highest rank comes first.
    std::uint64_t rank = 0;

    friend bool operator==(const tree_member&, const tree_member&) = default;
};

/// Link capacity of a router's machine, in megabits per second; 0 if not declared.
using link_capacity = base::strong_id<struct link_capacity_tag, std::uint32_t>;

/// Members whose links have at least twice the capacity rank before the others, because readers of
/// the owner receive everything that is written there, and routers high in the tree pass copies on
/// to many others.
/// @return the member with its rank. Thread-safe, as are all functions in this file.
tree_member make_member(base::router_name name, base::zone_name zone, base::region_name region = {},
                        link_capacity link = {});

/// Settings of the tree.
struct tree_settings {
    /// Number of routers that read the owner: two, so that copies stay fresh when one of them is
    /// lost.
    std::size_t readers = 2;
    /// Maximum number of routers that take their copy from the same router. Two hops below a head
    /// reach 272 routers of a zone.
    std::size_t degree = 16;
};

/// Place of a router in the tree.
struct tree_place {
    bool reads_owner = false;
    std::optional<base::router_name> parent;  ///< Set if the router doesn't read the owner.

    friend bool operator==(const tree_place&, const tree_place&) = default;
};

/// @param others all routers except `self` that may take part, in any order, each name once.
/// @return the place of `self`.
tree_place place_in_tree(const tree_member& self, const std::vector<tree_member>& others,
                         const tree_settings& settings);

/// @return the routers that would read the owner if exactly `members` took part, highest rank
/// first.
std::vector<tree_member> readers_among(const std::vector<tree_member>& members,
                                       const tree_settings& settings);

}  // namespace ferryroad::coordination::reading
