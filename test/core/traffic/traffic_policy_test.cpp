/// Lookup of routes by host and longest prefix and of tenants by key, and rotation over pools.
#include "ferryroad/core/traffic/traffic_policy.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <map>
#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::traffic;

route route_of(const char* name, const char* host, const char* prefix) {
    route one;
    one.name.value = name;
    one.host = host;
    one.path_prefix = prefix;
    one.pools = {{base::pool_name("pool"), 1}};
    return one;
}

declaration sample() {
    declaration declared;
    declared.version = 4;
    declared.routes = {route_of("short", "a.example", "/x/"),
                       route_of("long", "a.example", "/x/y/"),
                       route_of("other", "b.example", "/x/")};
    declared.routes[2].is_public = true;
    declared.tenants = {{base::tenant_name("t1"), {"k1", "k2"}, 0, true},
                        {base::tenant_name("t2"), {"k3"}, std::nullopt, false}};
    declared.pools = {{base::pool_name("pool"), 10, std::nullopt}};
    return declared;
}

struct route_row {
    const char* host;
    const char* path;
    const char* expected;  ///< Name of the route; null for none.
};
constexpr route_row route_rows[] = {
    {"a.example", "/x/1", "short"},   {"a.example", "/x/y/1", "long"},
    {"a.example", "/x/y", "short"},   {"a.example", "/x", nullptr},
    {"b.example", "/x/y/1", "other"}, {"c.example", "/x/1", nullptr},
    {"A.example", "/x/1", nullptr},   {"a.example", "/", nullptr},
};

}  // namespace

Test(traffic_policy, finds_the_longest_prefix_of_the_host) {
    const traffic_policy policy(sample());
    for (const route_row& row : route_rows) {
        const route* found = policy.find_route(row.host, row.path);
        const std::string name = found == nullptr ? "" : found->name.value;
        cr_assert_str_eq(name.c_str(), row.expected == nullptr ? "" : row.expected, "%s%s",
                         row.host, row.path);
    }
}

Test(traffic_policy, finds_tenants_by_any_of_their_keys) {
    const traffic_policy policy(sample());
    cr_assert_str_eq(policy.find_tenant("k1")->name.value.c_str(), "t1");
    cr_assert_str_eq(policy.find_tenant("k2")->name.value.c_str(), "t1");
    cr_assert_str_eq(policy.find_tenant("k3")->name.value.c_str(), "t2");
    cr_assert_null(policy.find_tenant("k"));
    cr_assert_null(policy.find_tenant(""));
}

Test(traffic_policy, public_routes_and_policies_without_tenants_need_no_key) {
    declaration declared = sample();
    const traffic_policy policy(declared);
    cr_assert(policy.needs_key(*policy.find_route("a.example", "/x/")));
    cr_assert_not(policy.needs_key(*policy.find_route("b.example", "/x/")));
    declared.tenants.clear();
    const traffic_policy open(declared);
    cr_assert_not(open.needs_key(*open.find_route("a.example", "/x/")));
}

Test(traffic_policy, equality_is_that_of_the_declarations) {
    declaration changed = sample();
    changed.routes[0].attempts = 3;
    cr_assert(traffic_policy(sample()) == traffic_policy(sample()));
    cr_assert_not(traffic_policy(sample()) == traffic_policy(changed));
}

// Guards against: a tenant was isolated by a change of the policy, and others went on using the
// prompt state that its requests had made before.
Test(traffic_policy, the_name_of_shared_state_changes_with_the_isolated_tenants) {
    const auto name_of = [](std::vector<tenant> tenants) {
        declaration declared = sample();
        declared.tenants = std::move(tenants);
        return traffic_policy(std::move(declared)).shared_state_name();
    };
    const tenant open{base::tenant_name("open")};
    tenant first{base::tenant_name("first")};
    tenant second{base::tenant_name("second")};
    first.isolated = second.isolated = true;
    cr_assert(name_of({}) == "shared");
    cr_assert(name_of({open}) == "shared");
    cr_assert(name_of({open, first}) != "shared");
    cr_assert(name_of({open, first}) == name_of({first}), "other tenants may come and go");
    cr_assert(name_of({first, second}) == name_of({second, first}));
    cr_assert(name_of({first}) != name_of({second}));
    cr_assert(name_of({first}) != name_of({first, second}));
}

Test(weighted_rotation, keeps_to_the_weights_over_any_run) {
    const std::vector<pool_share> pools = {
        {base::pool_name("a"), 90}, {base::pool_name("b"), 10}, {base::pool_name("c"), 0}};
    weighted_rotation rotation;
    std::map<std::string, int> seen;
    for (int count = 1; count <= 1000; ++count) {
        ++seen[rotation.next(pools).value];
        const double due = 0.1 * count;
        cr_assert_leq(std::abs(seen["b"] - due), 1.0, "after %d", count);
    }
    cr_assert_eq(seen["a"], 900);
    cr_assert_eq(seen["b"], 100);
    cr_assert_eq(seen["c"], 0);
}

Test(weighted_rotation, begins_anew_when_the_shares_change) {
    weighted_rotation rotation;
    rotation.next({{base::pool_name("a"), 1}});
    cr_assert_str_eq(rotation.next({{base::pool_name("b"), 1}}).value.c_str(), "b");
}
