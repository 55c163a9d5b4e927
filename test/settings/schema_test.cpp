/// Checks that an invalid setting is reported with its source, field, value and the accepted
/// values.
#include "ferryroad/settings/schema.hpp"

#include "ferryroad/base/ids.hpp"

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace {

namespace settings = ferryroad::settings;
namespace base = ferryroad::base;

struct sample_settings {
    base::endpoint listen;
    base::zone_name zone;
    base::duration lag = std::chrono::milliseconds(200);
    std::uint32_t pieces = 120;
    double rate = 1.0;
    bool verbose = false;
    std::vector<base::endpoint> seeds;
    std::string policy = "cost";
};

settings::schema make_schema(sample_settings& target) {
    settings::schema schema("sample", "A sample.");
    schema.add("listen", "Address.", target.listen, settings::presence::required);
    schema.add("zone", "Zone.", target.zone);
    schema.add("lag_ms", "Lag.", target.lag);
    schema.add("pieces", "Pieces.", target.pieces, settings::range{1, 1000});
    schema.add("rate", "Rate.", target.rate, settings::range{0.5, 2});
    schema.add("verbose", "Verbose.", target.verbose);
    schema.add("seeds", "Seeds.", target.seeds);
    schema.add_choice("policy", "Policy.", target.policy, {"cost", "round_robin"});
    return schema;
}

struct refusal_row {
    const char* file;
    const char* message;
};

constexpr refusal_row refusals[] = {
    {R"({"listen":"localhost:1"})",
     R"(f: field "listen": value "localhost:1": expected an IP number and port such as "127.0.0.1:8080")"},
    {R"({"pieces":0})", R"(f: field "pieces": value 0: expected a whole number from 1 to 1000)"},
    {R"({"pieces":1.5})",
     R"(f: field "pieces": value 1.5E0: expected a whole number from 1 to 1000)"},
    {R"({"rate":"fast"})", R"(f: field "rate": value "fast": expected a number from 5E-1 to 2)"},
    {R"({"lag_ms":-1})",
     R"(f: field "lag_ms": value -1: expected a number of milliseconds from 0 to 1000000000)"},
    {R"({"verbose":1})", R"(f: field "verbose": value 1: expected true or false)"},
    {R"({"seeds":["x"]})",
     R"(f: field "seeds": value ["x"]: expected an IP number and port such as "127.0.0.1:8080")"},
    {R"({"policy":"magic"})",
     R"(f: field "policy": value "magic": expected one of cost, round_robin)"},
    {R"({"unheard_of":1})",
     R"(f: field "unheard_of": value 1: expected a setting of sample (see --help))"},
};
constexpr std::size_t refusal_count = sizeof(refusals) / sizeof(refusals[0]);

}  // namespace

ParameterizedTestParameters(schema, refusals) {
    static std::size_t indexes[refusal_count];
    for (std::size_t index = 0; index < refusal_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, refusal_count);
}

ParameterizedTest(std::size_t* index, schema, refusals) {
    sample_settings target;
    auto schema = make_schema(target);
    const auto values = boost::json::parse(refusals[*index].file).get_object();
    const auto refused = schema.apply("f", values);
    cr_assert(refused.has_value());
    const std::string message = refused->to_string();
    cr_assert_str_eq(message.c_str(), refusals[*index].message);
}

Test(schema, file_and_flags_fill_the_struct) {
    sample_settings target;
    auto schema = make_schema(target);
    const char* arguments[] = {"sample", "--listen", "127.0.0.1:80", "--lag-ms",         "5",
                               "--zone", "7",        "--seeds",      "[\"127.0.0.1:9\"]"};
    const auto outcome = schema.read(9, arguments);
    cr_assert(!outcome.exit_code.has_value());
    cr_assert((target.listen == base::endpoint{"127.0.0.1", 80}));
    cr_assert(target.lag == std::chrono::milliseconds(5));
    cr_assert(target.zone.value == "7");
    cr_assert_eq(target.seeds.size(), 1U);
    cr_assert(outcome.file.empty(), "there is nothing to read again");
}

Test(schema, a_missing_required_setting_ends_with_code_2) {
    sample_settings target;
    auto schema = make_schema(target);
    const char* arguments[] = {"sample"};
    cr_assert_eq(schema.read(1, arguments).exit_code.value(), settings::exit_bad_settings);
}
