#include "ferryroad/coordination/reading/reading_tree.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>

namespace ferryroad::coordination::reading {

namespace {

/// Keeps these ranks independent of other rankings of the same names.
constexpr std::uint64_t rank_salt = 0x7265616465727321;
/// Bits of a rank that hold the hash; the bits above hold the capacity class of the machine.
constexpr unsigned score_bits = 56;

std::vector<tree_member> ranked(std::vector<tree_member> members) {
    std::sort(members.begin(), members.end(), [](const tree_member& a, const tree_member& b) {
        return std::tie(a.rank, a.name) > std::tie(b.rank, b.name);
    });
    return members;
}

/// @return the first router of each zone; those that are also the first of their region come first.
std::vector<tree_member> heads_of(const std::vector<tree_member>& in_rank) {
    std::vector<tree_member> heads;
    std::vector<tree_member> of_zones;
    std::set<base::zone_name> zones;
    std::set<base::region_name> regions;
    for (const tree_member& one : in_rank) {
        if (zones.insert(one.zone).second) {
            const bool first_of_region = regions.insert(one.region).second;
            (first_of_region ? heads : of_zones).push_back(one);
        }
    }
    heads.insert(heads.end(), of_zones.begin(), of_zones.end());
    return heads;
}

/// @return the parent of a head that is not a reader. The head of a region takes its copy from the
/// readers, or from other such heads below them; the head of a zone takes it from the heads of its
/// region.
tree_member parent_of_head(const tree_member& self, const std::vector<tree_member>& heads,
                           std::size_t readers, std::size_t degree) {
    std::set<base::region_name> regions;
    std::vector<tree_member> across;
    std::vector<tree_member> within;
    for (const tree_member& one : heads) {
        if (regions.insert(one.region).second) {
            across.push_back(one);
        }
        if (one.region == self.region) {
            within.push_back(one);
        }
    }
    const auto place_in = [](const std::vector<tree_member>& list, const tree_member& wanted) {
        return static_cast<std::size_t>(
            std::distance(list.begin(), std::find(list.begin(), list.end(), wanted)));
    };
    const std::size_t position = place_in(across, self);
    if (position < across.size()) {
        return across[(position - readers) / degree];
    }
    const auto is_reader = [&](const tree_member& one) { return place_in(heads, one) < readers; };
    const auto reading =
        static_cast<std::size_t>(std::count_if(within.begin(), within.end(), is_reader));
    const std::size_t above = std::max<std::size_t>(reading, 1);
    return within[(place_in(within, self) - above) / degree];
}

/// Heads come first, so that the readers are in different zones if there are several.
std::vector<tree_member> readers_of(const std::vector<tree_member>& in_rank,
                                    const std::vector<tree_member>& heads, std::size_t count) {
    std::vector<tree_member> readers(
        heads.begin(), heads.begin() + static_cast<std::ptrdiff_t>(std::min(count, heads.size())));
    for (const tree_member& one : in_rank) {
        const bool is_head = std::find(heads.begin(), heads.end(), one) != heads.end();
        if (readers.size() < count && !is_head) {
            readers.push_back(one);
        }
    }
    return readers;
}

std::size_t place_of(const std::vector<tree_member>& list, const tree_member& wanted) {
    return static_cast<std::size_t>(
        std::distance(list.begin(), std::find(list.begin(), list.end(), wanted)));
}

std::vector<tree_member> in_zone(const std::vector<tree_member>& in_rank,
                                 const base::zone_name& zone) {
    std::vector<tree_member> found;
    std::copy_if(in_rank.begin(), in_rank.end(), std::back_inserter(found),
                 [&](const tree_member& one) { return one.zone == zone; });
    return found;
}

}  // namespace

tree_member make_member(base::router_name name, base::zone_name zone, base::region_name region,
                        link_capacity link) {
    const auto capacity_class = static_cast<std::uint64_t>(std::bit_width(link.value));
    const std::uint64_t score = base::rendezvous_score(rank_salt, name.value);
    const std::uint64_t rank = (capacity_class << score_bits) | (score >> (64U - score_bits));
    return {std::move(name), std::move(zone), std::move(region), rank};
}

std::vector<tree_member> readers_among(const std::vector<tree_member>& members,
                                       const tree_settings& settings) {
    const std::vector<tree_member> in_rank = ranked(members);
    return readers_of(in_rank, heads_of(in_rank), settings.readers);
}

tree_place place_in_tree(const tree_member& self, const std::vector<tree_member>& others,
                         const tree_settings& settings) {
    std::vector<tree_member> all = others;
    all.push_back(self);
    const std::vector<tree_member> in_rank = ranked(std::move(all));
    const std::vector<tree_member> heads = heads_of(in_rank);
    const std::vector<tree_member> readers = readers_of(in_rank, heads, settings.readers);
    if (place_of(readers, self) < readers.size()) {
        return {true, std::nullopt};
    }
    const std::size_t as_head = place_of(heads, self);
    if (as_head < heads.size()) {
        const std::size_t reading = std::min(readers.size(), heads.size());
        return {false, parent_of_head(self, heads, reading, settings.degree).name};
    }
    const std::vector<tree_member> zone = in_zone(in_rank, self.zone);
    const std::size_t parent = (place_of(zone, self) - 1) / settings.degree;
    return {false, zone[parent].name};
}

}  // namespace ferryroad::coordination::reading
