/// Workload files are checked whole: the first fault names field, value and expectation.
#include "bench/workload/file.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace {

using namespace ferryroad::bench::workload;

const std::string right_file = R"({
  "name": "n", "requests": 5,
  "arrivals": {"mode": "open", "requests_per_second": 2.5},
  "environment": {"zones": ["a"], "zone_latency_ms": 1.5, "routers": 2, "engines": 4,
                  "application_engines": 1},
  "tenants": [{"name": "t"}],
  "corpora": [{"name": "c", "levels": [{"children": 2, "bytes": 100}]}],
  "kinds": [{"name": "k", "type": "generation", "corpus": "c", "max_tokens_min": 3}],
  "hot_set_shifts": [0.5]
})";

struct row {
    const char* from;  ///< Text of the right file that is replaced.
    const char* to;
    const char* message;  ///< Part of the refusal.
};

constexpr row rows[] = {
    {"\"requests\": 5,", "", "field \"requests\": value missing"},
    {"\"requests\": 5", "\"requests\": 0", "field \"requests\": value 0"},
    {"\"requests\": 5", "\"requests\": 1.5", "expected a whole number"},
    {"\"requests\": 5", "\"requests\": \"5\"", "field \"requests\": value \"5\""},
    {"\"requests\": 5", "\"requests\": 5, \"colour\": 1", "field \"colour\": value 1: expected no"},
    {"\"open\"", "\"burst\"", "field \"arrivals.mode\": value \"burst\""},
    {"2.5", "-1", "field \"arrivals.requests_per_second\": value -1"},
    {"[\"a\"]", "[]", "field \"environment.zones\": value []"},
    {"{\"name\": \"t\"}", "{\"name\": \"t\"}, {\"name\": \"t\"}", "expected names that differ"},
    {"\"corpus\": \"c\"", "\"corpus\": \"d\"", "corpus \"d\" to stand in"},
    {"\"children\": 2", "\"children\": 0", "field \"corpora[0].levels[0].children\": value 0"},
    {"\"generation\"", "\"guess\"", "field \"kinds[0].type\": value \"guess\""},
    {"\"max_tokens_min\": 3", "\"max_tokens_min\": 3, \"max_tokens_max\": 2",
     "field \"kinds[0].max_tokens_max\": value 2"},
    {"[0.5]", "[1.5]", "field \"hot_set_shifts\""},
    {"[{\"name\": \"t\"}]", "{}", "field \"tenants\": value {}"},
    {"\"n\"", "", "not JSON"},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

}  // namespace

Test(workload_file, right_file_is_read) {
    const auto read = parse_specification(right_file);
    cr_assert(read.has_value());
    cr_assert_eq(read->requests, 5U);
    cr_assert_float_eq(std::get<open_arrivals>(read->arrival).requests_per_second, 2.5, 1e-9);
    cr_assert_eq(ferryroad::base::to_seconds(read->place.zone_latency), 0.0015);
    cr_assert_eq(read->kinds.at(0).max_tokens_max, 3U);
}

ParameterizedTestParameters(workload_file, refusals) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, workload_file, refusals) {
    const row& expected = rows[*index];
    std::string text = right_file;
    const std::string from = expected.from;
    text.replace(text.find(from), from.size(), expected.to);
    const auto read = parse_specification(text);
    cr_assert(read.has_error(), "%s was accepted", expected.to);
    cr_assert(read.error().message.find(expected.message) != std::string::npos, "%s",
              read.error().message.c_str());
}
