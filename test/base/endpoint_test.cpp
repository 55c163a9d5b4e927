/// Endpoints are parsed from a numeric IP address and a port; all other texts are rejected.
#include "ferryroad/base/endpoint.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace {

struct row {
    const char* text;
    bool accepted;
    const char* printed;
};

constexpr row rows[] = {
    {"127.0.0.1:80", true, "127.0.0.1:80"},
    {"[::1]:8080", true, "[::1]:8080"},
    {"localhost:80", false, ""},
    {"127.0.0.1", false, ""},
    {"127.0.0.1:65536", false, ""},
    {"127.0.0.1:", false, ""},
    {"127.0.0.1:80x", false, ""},
    {"", false, ""},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

}  // namespace

ParameterizedTestParameters(endpoint, parse_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, endpoint, parse_table) {
    const row& expected = rows[*index];
    const auto parsed = ferryroad::base::endpoint::parse(expected.text);
    cr_assert_eq(parsed.has_value(), expected.accepted, "%s", expected.text);
    if (parsed) {
        const std::string printed = parsed->to_string();
        cr_assert_str_eq(printed.c_str(), expected.printed);
    }
}
