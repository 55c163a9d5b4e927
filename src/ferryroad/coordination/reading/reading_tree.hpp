/// @file
/// Which routers read an outside table for all, and from whom each other router takes its copy.
///
/// Every router ranks all routers alike, by a hash of their names. The first of each zone is the
/// zone's head, and the first of each region its region's. The first few heads of regions, and then
/// of zones, read the owner. Other regions' heads take their copy from those, the heads of a
/// region's zones from their region's, and the routers of a zone form a tree of bounded degree
/// below their head. So a copy passes few hops, most of them within a zone, one of them at most
/// between regions, and nobody has to be elected: routers whose views differ
/// for a while only read the owner more often.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::coordination::reading {

struct tree_member {
    base::router_name name;
    base::zone_name zone;
    /// The same text for all where nothing is told of regions.
    base::region_name region;
    /// The same at all routers; the highest comes first.
    std::uint64_t rank = 0;

    friend bool operator==(const tree_member&, const tree_member&) = default;
};

/// What a router's machine can carry: its link, in megabits a second; 0 where it doesn't say.
using link_capacity = base::strong_id<struct link_capacity_tag, std::uint32_t>;

/// Members whose links carry twice as much or more come before the others: readers of the owner get
/// all that is written there, and whoever stands high in the tree passes copies on to many.
/// @return the member with its rank. Thread-safe, as all here.
tree_member make_member(base::router_name name, base::zone_name zone, base::region_name region = {},
                        link_capacity link = {});

struct tree_settings {
    /// Routers that read the owner: a second one, so that the loss of one costs no freshness.
    std::size_t readers = 2;
    /// Routers that take their copy from one router, at most. Two hops below a head reach 272
    /// routers of a zone.
    std::size_t degree = 16;
};

/// Where a router stands in the tree.
struct tree_place {
    bool reads_owner = false;
    std::optional<base::router_name> parent;  ///< Where it doesn't read the owner.

    friend bool operator==(const tree_place&, const tree_place&) = default;
};

/// @param others all routers but `self` that may take part; in any order, no name twice.
/// @return the place of `self`.
tree_place place_in_tree(const tree_member& self, const std::vector<tree_member>& others,
                         const tree_settings& settings);

/// The routers that would read the owner if just these took part, the first one first.
std::vector<tree_member> readers_among(const std::vector<tree_member>& members,
                                       const tree_settings& settings);

}  // namespace ferryroad::coordination::reading
