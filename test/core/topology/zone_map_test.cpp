/// Distances between zones by their configured regions, and errors in the configured list.
#include "ferryroad/core/topology/zone_map.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::core::topology;

namespace {

const base::zone_name a("a");
const base::zone_name b("b");
const base::zone_name c("c");
const base::zone_name unknown("u");

}  // namespace

Test(zone_map, zones_of_other_regions_are_far) {
    const zone_map zones = parse_zones({"a=one", "b=one", "c=two"}).zones;
    cr_assert(zones.several_regions());
    cr_assert(zones.between(a, a) == distance::same_zone);
    cr_assert(zones.between(a, b) == distance::other_zone);
    cr_assert(zones.between(b, c) == distance::other_region);
    cr_assert(zones.region_of(c) == base::region_name("two"));
}

Test(zone_map, without_several_regions_no_zone_is_far) {
    for (const zone_map& zones : {zone_map(), parse_zones({"a=one", "b=one"}).zones}) {
        cr_assert_not(zones.several_regions());
        cr_assert(zones.between(a, b) == distance::other_zone);
        cr_assert(zones.between(a, unknown) == distance::other_zone);
        cr_assert(zones.between(unknown, unknown) == distance::same_zone);
    }
}

Test(zone_map, an_unknown_zone_is_far_if_there_are_several_regions) {
    const zone_map zones = parse_zones({"a=one", "c=two"}).zones;
    cr_assert(zones.between(a, unknown) == distance::other_region);
    cr_assert(zones.between(unknown, c) == distance::other_region);
    cr_assert_not(zones.region_of(unknown).has_value());
}

Test(zone_map, bad_lists_are_refused_with_the_entry) {
    for (const char* bad : {"a", "a=", "=one", ""}) {
        const auto parsed = parse_zones({"b=one", bad});
        cr_assert(parsed.fault.has_value());
        cr_assert(parsed.fault->entry == bad);
        cr_assert(parsed.zones.empty());
    }
    cr_assert(parse_zones({"a=one", "a=two"}).fault.has_value());
    cr_assert_not(parse_zones({"a=one", "a=one"}).fault.has_value());
}
