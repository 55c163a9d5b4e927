/// Checks how desired-state files are read, and the errors for invalid ones.
#include "ferryroad/catalog/codec.hpp"

#include "ferryroad/base/digest.hpp"
#include "ferryroad/catalog/difference.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <fstream>
#include <iterator>
#include <variant>

namespace {

namespace leaf = boost::leaf;
using namespace ferryroad;
using catalog::error_code;

std::variant<catalog::catalog, catalog::invalid_catalog> decode(std::string_view text) {
    using outcome = std::variant<catalog::catalog, catalog::invalid_catalog>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome> {
            BOOST_LEAF_AUTO(declared, catalog::decode_desired_state(text));
            return outcome(std::move(declared));
        },
        [](const catalog::invalid_catalog& invalid) { return outcome(invalid); },
        []() { return outcome(catalog::invalid_catalog{}); });
}

struct row {
    const char* text;
    error_code code;
    const char* resource;
    const char* field;
    const char* value;
};

constexpr const char* no_value = "";
#define DIGEST "0000000000000000000000000000000000000000000000000000000000000000"
#define MODELS R"("models":[{"name":"m","version":"v1"}],"pools":[{"name":"p","model":"m"}])"

constexpr row refused[] = {
    {"{", error_code::malformed_json, "desired state", "", no_value},
    {"[]", error_code::wrong_type, "desired state", "", "[]"},
    {R"({"tenant":[]})", error_code::unknown_field, "desired state", "tenant", "[]"},
    {R"({"tenants":[{"name":"a"}]})", error_code::missing_field, "tenant/a", "key_sha256", ""},
    {R"({"tenants":[{"key":"k"}]})", error_code::missing_field, "tenants[0]", "name", no_value},
    {R"({"tenants":[7]})", error_code::wrong_type, "tenants[0]", "", "7"},
    {R"({"tenants":[{"name":"a","key":7}]})", error_code::wrong_type, "tenant/a", "key", "7"},
    {R"({"tenants":[{"name":"a","key":""}]})", error_code::invalid_value, "tenant/a", "key",
     R"("")"},
    {R"({"tenants":[{"name":"a","key":"k","key_sha256":")" DIGEST R"("}]})",
     error_code::invalid_value, "tenant/a", "key_sha256", "\"" DIGEST "\""},
    {R"({"tenants":[{"name":"a","key_sha256":"ab"}]})", error_code::invalid_value, "tenant/a",
     "key_sha256", R"("ab")"},
    {R"({"tenants":[{"name":"a b","key":"k"}]})", error_code::invalid_value, "tenant/a b", "name",
     R"("a b")"},
    {R"({"tenants":[{"name":"a","key":"k"},{"name":"a","key":"l"}]})", error_code::duplicate,
     "tenant/a", "name", R"("a")"},
    {R"({"tenants":[{"name":"a","key_sha256":")" DIGEST R"("},{"name":"b","key_sha256":")" DIGEST
     R"("}]})",
     error_code::duplicate, "tenant/b", "key_sha256", "\"" DIGEST "\""},
    {R"({"tenants":[{"name":"a","key":"k","requests_per_second":-1}]})", error_code::invalid_value,
     "tenant/a", "requests_per_second", "-1"},
    {R"({"tenants":[{"name":"a","key":"k","concurrent_requests":1.5}]})", error_code::invalid_value,
     "tenant/a", "concurrent_requests", "1.5E0"},
    {R"({"models":[{"name":"m"}]})", error_code::missing_field, "model/m", "version", no_value},
    {R"({"models":[{"name":"m","version":"v","adapters":["x","x"]}]})", error_code::duplicate,
     "model/m", "adapters", R"("x")"},
    {R"({"pools":[{"name":"p","model":"none"}]})", error_code::unknown_reference, "pool/p", "model",
     R"("none")"},
    {R"({"pools":[{"name":"p","kind":"other"}]})", error_code::invalid_value, "pool/p", "kind",
     R"("other")"},
    {R"({"pools":[{"name":"p","kind":"application","model":"m"}]})", error_code::invalid_value,
     "pool/p", "model", R"("m")"},
    {R"({"routes":[{"name":"r","path_prefix":"/a","pool":"none"}]})", error_code::unknown_reference,
     "route/r", "pool", R"("none")"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"a","pool":"p"}]})",
     error_code::invalid_value, "route/r", "path_prefix", R"("a")"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"/a","pool":"p","deadline_ms":0}]})",
     error_code::invalid_value, "route/r", "deadline_ms", "0"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"/a","pool":"p","priority":"urgent"}]})",
     error_code::invalid_value, "route/r", "priority", R"("urgent")"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"/a","pool":"p","methods":["get"]}]})",
     error_code::invalid_value, "route/r", "methods", R"("get")"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"/a","pool":"p","repeatable":false,)"
     R"("hedge":true}]})",
     error_code::invalid_value, "route/r", "hedge", "true"},
    {"{" MODELS R"(,"routes":[{"name":"q","path_prefix":"/a","pool":"p"},)"
     R"({"name":"r","path_prefix":"/a","pool":"p","methods":["GET"]}]})",
     error_code::duplicate, "route/r", "path_prefix", R"("/a")"},
    {"{" MODELS R"(,"routes":[{"name":"r","path_prefix":"/a","pool":"p","repeatabel":false}]})",
     error_code::unknown_field, "route/r", "repeatabel", "false"},
};
constexpr std::size_t row_count = sizeof(refused) / sizeof(refused[0]);

constexpr std::string_view whole_state = R"({
  "tenants":[{"name":"a","key":"secret","requests_per_second":2.5,"weight":3}],
  "models":[{"name":"m","version":"v1","adapters":["x"]}],
  "pools":[{"name":"p","model":"m","drained":["e1"]},{"name":"q","kind":"application"}],
  "routes":[{"name":"r","path_prefix":"/v1/","pool":"p","priority":"high","deadline_ms":1500},
            {"name":"s","path_prefix":"/s","methods":["POST"],"pool":"q","repeatable":false}]})";

catalog::catalog decoded(std::string_view text) {
    auto outcome = decode(text);
    const auto* invalid = std::get_if<catalog::invalid_catalog>(&outcome);
    cr_assert_null(invalid, "%s", invalid == nullptr ? "" : invalid->to_string().c_str());
    return std::get<catalog::catalog>(std::move(outcome));
}

bool put(catalog::catalog& into, const std::string& key, std::string_view text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(catalog::put_resource(into, catalog::resource_key(key), text));
            return true;
        },
        []() { return false; });
}

}  // namespace

ParameterizedTestParameters(desired_state, refusals) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, desired_state, refusals) {
    const row& expected = refused[*index];
    const auto outcome = decode(expected.text);
    const auto* invalid = std::get_if<catalog::invalid_catalog>(&outcome);
    cr_assert_not_null(invalid, "%s", expected.text);
    cr_assert_eq(invalid->faults.size(), 1, "%s", invalid->to_string().c_str());
    const catalog::error& fault = invalid->faults.front();
    const std::string shown = fault.to_string();
    cr_assert_eq(fault.code, expected.code, "%s", shown.c_str());
    cr_assert_str_eq(fault.resource.c_str(), expected.resource);
    cr_assert_str_eq(fault.field.c_str(), expected.field);
    cr_assert_str_eq(fault.value.c_str(), expected.value);
    cr_assert(!fault.expected.empty());
}

Test(desired_state, every_fault_is_reported) {
    const auto outcome = decode(R"({"tenants":[{"name":"a"},{"name":"b","key":"k","weight":0}]})");
    cr_assert_eq(std::get<catalog::invalid_catalog>(outcome).faults.size(), 2);
}

Test(desired_state, reads_every_field) {
    const catalog::catalog state = decoded(whole_state);
    const catalog::tenant& tenant = state.tenants.at(base::tenant_name("a"));
    const std::string digest = base::sha256_hex("secret");
    cr_assert_str_eq(tenant.key_sha256.c_str(), digest.c_str());
    cr_assert_eq(tenant.limits.requests_per_second, 2.5);
    const catalog::route& route = state.routes.at(base::route_name("r"));
    cr_assert_eq(route.priority, catalog::request_priority::high);
    cr_assert_eq(route.deadline, std::chrono::milliseconds(1500));
    cr_assert(route.repeatable);
    cr_assert(!state.routes.at(base::route_name("s")).repeatable);
    cr_assert_eq(state.pools.at(base::pool_name("p")).drained.size(), 1);
}

Test(desired_state, encoding_decodes_to_the_same) {
    const catalog::catalog state = decoded(whole_state);
    const catalog::catalog again = decoded(catalog::encode_desired_state(state));
    cr_assert(catalog::find_differences(state, again).empty());
}

Test(desired_state, demonstration_file_is_valid) {
    std::ifstream file(FERRYROAD_SOURCE_DIR "/deploy/demo.json");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const catalog::catalog state = decoded(text);
    cr_assert_eq(state.tenants.size(), 2);
    cr_assert_eq(state.routes.size(), 3);
}

Test(resources, put_and_remove_give_the_same_catalog) {
    const catalog::catalog state = decoded(whole_state);
    catalog::catalog copy;
    for (const auto& [key, text] : catalog::encode_resources(state)) {
        cr_assert(put(copy, key.value, text), "%s", key.value.c_str());
    }
    cr_assert(catalog::find_differences(state, copy).empty());
    for (const auto& [key, text] : catalog::encode_resources(state)) {
        catalog::remove_resource(copy, key);
    }
    cr_assert(catalog::encode_resources(copy).empty());
}

Test(resources, stored_text_may_hold_fields_of_a_later_version) {
    catalog::catalog state;
    cr_assert(put(state, "model/m", R"({"name":"m","version":"v1","later":true})"));
    cr_assert(!put(state, "model/n", R"({"name":"m","version":"v1"})"));
    cr_assert(!put(state, "thing/n", R"({"name":"n"})"));
    cr_assert(!put(state, "model/n", "{"));
    cr_assert_eq(state.models.size(), 1);
}

Test(differences, are_named_with_both_sides) {
    const catalog::catalog before = decoded(whole_state);
    catalog::catalog after = before;
    after.tenants.erase(base::tenant_name("a"));
    after.models.at(base::model_name("m")).version = base::weights_version("v2");
    after.pools[base::pool_name("z")] = {base::pool_name("z"), catalog::pool_kind::application};
    const auto differences = catalog::find_differences(before, after);
    cr_assert_eq(differences.size(), 3);
    cr_assert_str_eq(differences[0].resource.value.c_str(), "model/m");
    cr_assert(differences[0].before && differences[0].after);
    cr_assert(!differences[1].before, "%s", differences[1].resource.value.c_str());
    cr_assert(!differences[2].after, "%s", differences[2].resource.value.c_str());
}
