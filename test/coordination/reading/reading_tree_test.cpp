/// Tests of the reading tree: few routers read the owner, no router serves too many others, and
/// every router reaches the owner through its parents.
#include "ferryroad/coordination/reading/reading_tree.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace ferryroad;
using namespace ferryroad::coordination::reading;

namespace {

std::vector<tree_member> fleet(std::size_t routers, std::size_t zones) {
    std::vector<tree_member> members;
    for (std::size_t index = 0; index < routers; ++index) {
        members.push_back(make_member(base::router_name("r" + std::to_string(index)),
                                      base::zone_name("z" + std::to_string(index % zones))));
    }
    return members;
}

std::vector<tree_member> without(std::vector<tree_member> members, const base::router_name& name) {
    std::erase_if(members, [&](const tree_member& one) { return one.name == name; });
    return members;
}

std::map<base::router_name, tree_place> places(const std::vector<tree_member>& members) {
    std::map<base::router_name, tree_place> all;
    for (const tree_member& one : members) {
        all[one.name] = place_in_tree(one, without(members, one.name), {});
    }
    return all;
}

std::size_t hops_to_owner(const std::map<base::router_name, tree_place>& all,
                          base::router_name name) {
    std::size_t hops = 0;
    while (!all.at(name).reads_owner && hops <= all.size()) {
        name = *all.at(name).parent;
        ++hops;
    }
    return hops;
}

struct shape {
    std::size_t routers;
    std::size_t zones;
    std::size_t most_hops;
};

}  // namespace

Test(reading_tree, a_router_alone_reads_the_owner) {
    const tree_place place = place_in_tree(fleet(1, 1).front(), {}, {});
    cr_assert(place.reads_owner);
    cr_assert(!place.parent);
}

Test(reading_tree, is_valid_at_any_size) {
    for (const shape& each : {shape{2, 1, 1}, shape{8, 4, 2}, shape{69, 4, 3}, shape{79, 3, 3},
                              shape{370, 10, 4}, shape{370, 1, 3}}) {
        const auto members = fleet(each.routers, each.zones);
        const auto all = places(members);
        std::map<base::router_name, std::size_t> served;
        std::size_t readers = 0;
        for (const auto& [name, place] : all) {
            readers += place.reads_owner ? 1 : 0;
            cr_assert_neq(place.reads_owner, place.parent.has_value());
            if (place.parent) {
                ++served[*place.parent];
            }
            cr_assert_leq(hops_to_owner(all, name), each.most_hops, "%zu routers, %zu zones",
                          each.routers, each.zones);
        }
        cr_assert_eq(readers, 2);
        for (const auto& [name, routers] : served) {
            // A head serves its own zone and, if it is a reader, other heads.
            cr_assert_leq(routers, 2 * tree_settings{}.degree);
        }
    }
}

Test(reading_tree, readers_are_in_different_zones) {
    const auto members = fleet(40, 4);
    std::set<base::zone_name> zones;
    for (const tree_member& one : readers_among(members, {})) {
        zones.insert(one.zone);
    }
    cr_assert_eq(zones.size(), 2);
}

Test(reading_tree, only_one_router_of_a_zone_takes_its_copy_from_another_zone) {
    const auto members = fleet(69, 4);
    std::map<base::router_name, base::zone_name> zone_of;
    for (const tree_member& one : members) {
        zone_of[one.name] = one.zone;
    }
    std::map<base::zone_name, int> across;
    for (const auto& [name, place] : places(members)) {
        const bool far = place.parent && zone_of[*place.parent] != zone_of[name];
        across[zone_of[name]] += far ? 1 : 0;
    }
    for (const auto& [zone, routers] : across) {
        cr_assert_leq(routers, 1);
    }
}

Test(reading_tree, the_order_of_the_list_does_not_matter) {
    auto members = fleet(20, 3);
    const tree_member self = members.back();
    members.pop_back();
    const tree_place place = place_in_tree(self, members, {});
    const std::vector<tree_member> reversed(members.rbegin(), members.rend());
    cr_assert(place_in_tree(self, reversed, {}) == place);
}

namespace {

/// Zones z0, z1, ... are assigned to the regions in turn.
std::vector<tree_member> fleet_of_regions(std::size_t routers, std::size_t zones,
                                          std::size_t regions) {
    std::vector<tree_member> members;
    for (std::size_t index = 0; index < routers; ++index) {
        const std::size_t zone = index % zones;
        members.push_back(make_member(base::router_name("r" + std::to_string(index)),
                                      base::zone_name("z" + std::to_string(zone)),
                                      base::region_name("g" + std::to_string(zone % regions))));
    }
    return members;
}

const tree_member& named(const std::vector<tree_member>& members, const base::router_name& name) {
    return *std::find_if(members.begin(), members.end(),
                         [&](const tree_member& one) { return one.name == name; });
}

}  // namespace

Test(reading_tree, one_copy_crosses_to_each_region) {
    for (const std::size_t routers : {6, 76, 400}) {
        const auto members = fleet_of_regions(routers, 6, 3);
        const auto all = places(members);
        std::map<base::region_name, int> from_outside;
        std::map<base::zone_name, int> to_zone;
        for (const auto& [name, place] : all) {
            cr_assert_leq(hops_to_owner(all, name), 5);
            const tree_member& self = named(members, name);
            const bool crosses =
                !place.parent || named(members, *place.parent).region != self.region;
            from_outside[self.region] += crosses ? 1 : 0;
            to_zone[self.zone] +=
                !place.parent || named(members, *place.parent).zone != self.zone ? 1 : 0;
        }
        for (const auto& [region, copies] : from_outside) {
            cr_assert_eq(copies, 1, "%s", region.value.c_str());
        }
        for (const auto& [zone, copies] : to_zone) {
            cr_assert_eq(copies, 1, "%s", zone.value.c_str());
        }
    }
}

Test(reading_tree, readers_are_in_different_regions) {
    const auto members = fleet_of_regions(76, 6, 3);
    const auto readers = readers_among(members, {});
    cr_assert_eq(readers.size(), 2);
    cr_assert(readers[0].region != readers[1].region);
}

Test(reading_tree, a_lost_region_and_a_region_of_one_zone_do_not_affect_others) {
    auto members = fleet_of_regions(77, 7, 3);  // The regions have 3, 2 and 2 zones.
    const auto dark = readers_among(members, {}).front().region;
    std::erase_if(members, [&](const tree_member& one) { return one.region == dark; });
    std::erase_if(members, [&](const tree_member& one) { return one.zone.value == "z6"; });
    const auto all = places(members);
    std::size_t readers = 0;
    for (const auto& [name, place] : all) {
        readers += place.reads_owner ? 1 : 0;
        cr_assert_leq(hops_to_owner(all, name), 4);
    }
    cr_assert_eq(readers, 2);
}

Test(reading_tree, a_single_region_equals_no_regions) {
    for (const std::size_t zones : {1, 3, 40}) {
        const auto told = fleet_of_regions(120, zones, 1);
        const auto untold = fleet(120, zones);
        cr_assert(places(told) == places(untold));
    }
}

Test(reading_tree, machines_with_faster_links_rank_higher) {
    std::vector<tree_member> members;
    std::size_t wide = 0;
    for (int index = 0; index < 200; ++index) {
        const bool is_wide = index % 20 == 0;
        wide += is_wide ? 1 : 0;
        members.push_back(make_member(base::router_name("r" + std::to_string(index)),
                                      base::zone_name("z"), {}, link_capacity(is_wide ? 200 : 20)));
    }
    std::sort(members.begin(), members.end(),
              [](const auto& a, const auto& b) { return a.rank > b.rank; });
    const std::uint64_t lowest_wide = make_member({}, {}, {}, link_capacity(200)).rank >> 56U;
    for (std::size_t place = 0; place < members.size(); ++place) {
        cr_assert_eq(members[place].rank >> 56U == lowest_wide, place < wide);
    }
}

Test(reading_tree, similar_links_are_ranked_by_name_only) {
    const auto narrow = make_member(base::router_name("a"), {}, {}, link_capacity(20));
    const auto wider = make_member(base::router_name("a"), {}, {}, link_capacity(25));
    cr_assert_eq(narrow.rank, wider.rank);
}
