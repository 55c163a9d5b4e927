/// Lines of a stream, and bodies, are read as they are meant or refused.
#include "bench/load/stream_event.hpp"

#include "bench/load/record_file.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace {

using namespace ferryroad::bench::load;

struct row {
    const char* line;
    bool accepted;
    bool has_part;
    const char* text;
    bool done;
};

constexpr row rows[] = {
    {"", true, false, "", false},
    {": comment", true, false, "", false},
    {"event: message", true, false, "", false},
    {"data: [DONE]", true, true, "", true},
    {R"(data: {"choices":[{"text":"a.0 ","finish_reason":null}]})", true, true, "a.0 ", false},
    {R"(data:{"choices":[{"delta":{"content":"a.1 "}}]})", true, true, "a.1 ", false},
    {R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}]})", true, true, "", false},
    {R"(data: {"choices":[{"message":{"content":"x"}}]})", true, true, "x", false},
    {"data: {", false, false, "", false},
    {R"(data: {"choices":3})", false, false, "", false},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

}  // namespace

ParameterizedTestParameters(stream_event, lines) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, stream_event, lines) {
    const row& expected = rows[*index];
    const auto read = parse_stream_line(expected.line);
    cr_assert_eq(read.has_value(), expected.accepted, "%s", expected.line);
    if (!expected.accepted) {
        return;
    }
    cr_assert_eq(read->has_value(), expected.has_part, "%s", expected.line);
    if (expected.has_part) {
        cr_assert_eq((*read)->text, expected.text, "%s", expected.line);
        cr_assert_eq((*read)->done, expected.done, "%s", expected.line);
    }
}

Test(stream_event, error_states_execution) {
    const auto read = parse_whole_answer(
        R"({"error":{"type":"t","code":"overloaded","message":"m","execution":"not-run"}})");
    cr_assert(read.has_value());
    cr_assert(read->failure.has_value());
    cr_assert_str_eq(read->failure->code.c_str(), "overloaded");
    cr_assert_str_eq(read->failure->execution.c_str(), "not-run");
}

Test(record_file, a_record_survives_its_line) {
    call_record record;
    record.number = 7;
    record.run = "r";
    record.kind = "k";
    record.type = ferryroad::bench::workload::request_type::application_write;
    record.tenant.value = "t";
    record.key.emplace("key \"quoted\"");
    record.pieces = {ferryroad::base::piece_hash(~0ULL), ferryroad::base::piece_hash(1)};
    record.router = {"127.0.0.1", 80};
    record.request.value = "id";
    record.outcome = call_outcome::refused;
    record.answer = answer_state::prefix;
    record.status = 503;
    record.execution = ferryroad::core::execution::execution_report::not_run;
    record.retry_after = true;
    record.token_gaps = {0.25, 0.5};
    const std::string line = to_line(record);
    const auto read = parse_line(line);
    cr_assert(read.has_value(), "%s", line.c_str());
    cr_assert_eq(to_line(*read), line);
    cr_assert(read->pieces == record.pieces);
    cr_assert(read->execution == record.execution);
    cr_assert(parse_line("{}").has_error());
}
