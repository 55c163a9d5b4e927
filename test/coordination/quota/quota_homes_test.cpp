/// Tests of the choice of home routers and of the exclusion of routers that don't answer.
#include "ferryroad/coordination/quota/quota_homes.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

const base::tenant_name tenant("t");
constexpr base::monotonic_time start{1h};

std::vector<base::router_name> routers(int count) {
    std::vector<base::router_name> names;
    for (int number = 0; number < count; ++number) {
        names.emplace_back("r" + std::to_string(number));
    }
    return names;
}

void miss_three_asks(quota_homes& homes, const base::router_name& home, base::monotonic_time now) {
    for (int ask = 0; ask < 3; ++ask) {
        homes.silent(home, now);
    }
}

}  // namespace

/// Many asks may be under way when a router falls silent.
Test(quota_homes, asks_that_fail_together_exclude_a_router_once) {
    quota_homes homes;
    homes.declare(routers(2));
    const base::router_name home = *homes.home_of(tenant, start);
    for (int ask = 0; ask < 20; ++ask) {
        homes.silent(home, start);
    }
    cr_assert(homes.is_excluded(home, start + 1999ms));
    cr_assert_not(homes.is_excluded(home, start + 2s));
}

/// Regions lose each other for minutes; each must then count for its own engines.
Test(quota_homes, the_home_of_an_engine_is_in_its_region_while_that_has_a_router) {
    const base::region_name north("north");
    const base::region_name south("south");
    router_regions regions;
    for (const base::router_name& name : routers(6)) {
        regions[name] = name.value < "r2" ? north : south;
    }
    quota_homes homes;
    homes.declare(routers(6), regions);
    for (int number = 0; number < 50; ++number) {
        const base::engine_name engine("e" + std::to_string(number));
        const base::router_name home = *homes.first_home_of(engine, north);
        cr_assert(regions[home] == north);
        cr_assert(regions[*homes.home_of(engine, start, south)] == south);
        miss_three_asks(homes, base::router_name("r0"), start);
        miss_three_asks(homes, base::router_name("r1"), start);
        cr_assert(regions[*homes.home_of(engine, start, north)] == south);
        cr_assert(*homes.first_home_of(engine, north) == home);
        homes.answered(base::router_name("r0"));
        homes.answered(base::router_name("r1"));
        cr_assert(*homes.first_home_of(engine, base::region_name("west")) ==
                  *homes.first_home_of(engine));
    }
}

Test(quota_homes, the_order_of_the_list_does_not_matter) {
    quota_homes one;
    quota_homes other;
    auto names = routers(20);
    one.declare(names);
    std::swap(names.front(), names.back());
    other.declare(names);
    cr_assert(one.home_of(tenant, start) == other.home_of(tenant, start));
}

Test(quota_homes, tenants_are_spread_over_the_routers) {
    quota_homes homes;
    homes.declare(routers(20));
    std::map<base::router_name, int> counted;
    for (int number = 0; number < 1200; ++number) {
        ++counted[*homes.home_of(base::tenant_name(std::to_string(number)), start)];
    }
    cr_assert_eq(counted.size(), 20);
    for (const auto& [name, tenants] : counted) {
        cr_assert_lt(tenants, 100);
    }
}

Test(quota_homes, no_home_if_no_router_is_known_or_all_are_excluded) {
    quota_homes homes;
    cr_assert_not(homes.home_of(tenant, start).has_value());
    homes.declare(routers(1));
    miss_three_asks(homes, routers(1)[0], start);
    cr_assert_not(homes.home_of(tenant, start).has_value());
}

Test(quota_homes, three_lost_answers_in_a_row_exclude_a_home_for_a_while) {
    quota_homes homes;
    homes.declare(routers(5));
    const auto home = *homes.home_of(tenant, start);
    homes.silent(home, start);
    homes.silent(home, start);
    cr_assert(homes.home_of(tenant, start) == home);
    homes.silent(home, start);
    cr_assert_neq(*homes.home_of(tenant, start), home);
    cr_assert(homes.home_of(tenant, start + 2s) == home);
}

Test(quota_homes, a_home_that_stays_unresponsive_is_asked_less_often) {
    quota_homes homes;
    homes.declare(routers(5));
    const auto home = *homes.home_of(tenant, start);
    miss_three_asks(homes, home, start);
    homes.silent(home, start + 2s);
    cr_assert_neq(*homes.home_of(tenant, start + 5s), home);
    cr_assert(homes.home_of(tenant, start + 6s) == home);
    homes.answered(home);
    homes.silent(home, start + 6s);
    cr_assert(homes.home_of(tenant, start + 6s) == home);
}

Test(quota_homes, routers_removed_from_the_list_are_forgotten) {
    quota_homes homes;
    homes.declare(routers(5));
    const auto home = *homes.home_of(tenant, start);
    miss_three_asks(homes, home, start);
    homes.declare({});
    homes.declare(routers(5));
    cr_assert(homes.home_of(tenant, start) == home);
}
