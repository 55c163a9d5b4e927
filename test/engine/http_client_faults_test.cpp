/// Every fault of an engine against the error and the proof that the client must give.
#include "test/engine/engine_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;
using namespace ferryroad::engine;
using namespace ferryroad::engine::test;

namespace {

struct fault_row {
    const char* name;
    const char* faults;  ///< Body for the emulator's faults, set before the request.
    void (*change)(generation_request&);
    error_code code;
    proof proves;
    std::size_t tokens;  ///< That come before the error.
};

void as_it_is(generation_request&) {}

const fault_row fault_rows[] = {
    {"other incarnation", "{}",
     [](generation_request& sent) { sent.expected_incarnation = base::incarnation(6); },
     error_code::refused_incarnation, proof::not_run, 0},
    {"older weights", "{}",
     [](generation_request& sent) { sent.scope.version = base::weights_version("v0"); },
     error_code::refused_version, proof::not_run, 0},
    {"over the context", "{}", [](generation_request& sent) { sent.max_tokens = 1000000; },
     error_code::refused_bad_request, proof::not_run, 0},
    {"attempt known already", "{}",
     [](generation_request& sent) { sent.attempt = base::attempt_id("known"); },
     error_code::refused_bad_request, proof::unknown, 0},
    {"no time left", "{}", [](generation_request& sent) { sent.time_left = 0ms; },
     error_code::timed_out, proof::not_sent, 0},
    {"leaving", R"({"leaving":true})", as_it_is, error_code::refused_leaving, proof::not_run, 0},
    {"overloaded", R"({"refuse_overloaded":true})", as_it_is, error_code::refused_overloaded,
     proof::not_run, 0},
    {"answer lost", R"({"lost_answers":1})", as_it_is, error_code::connection_lost, proof::unknown,
     0},
    {"cut before the first token", R"({"cut_after_tokens":0})", as_it_is,
     error_code::connection_lost, proof::unknown, 0},
    {"cut in the middle", R"({"cut_after_tokens":3})", as_it_is, error_code::connection_lost,
     proof::unknown, 3},
    {"cut in the line of the end", R"({"cut_after_tokens":5})", as_it_is,
     error_code::connection_lost, proof::unknown, 5},
    {"frozen before admission", R"({"freeze_ms":60000})", as_it_is, error_code::timed_out,
     proof::unknown, 0},
    {"too slow to go on", R"({"slow_factor":1000})", as_it_is, error_code::timed_out,
     proof::unknown, 0},
};

template <typename Row, std::size_t Size>
auto parameters_of(const Row (&)[Size]) {
    static std::size_t indexes[Size];
    for (std::size_t index = 0; index < Size; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, Size);
}

void check_failure(const std::optional<error>& failure, const char* name, error_code code,
                   proof proves) {
    cr_assert(failure.has_value(), "%s: no error", name);
    cr_assert(failure->code == code, "%s: %s", name, failure->message.c_str());
    cr_assert(failure->proves == proves, "%s: %s", name, failure->message.c_str());
}

/// A server that answers `status` and a streamed body, cut off where `cut` says so.
struct scripted_answer {
    const char* name;
    unsigned status;
    const char* body;
    bool cut;
    error_code code;
    std::size_t tokens;
};

#define LOAD                                                                                \
    R"("load":{"incarnation":7,"kind":"model","role":"general","model":"m","version":"v",)" \
    R"("adapters":[],"leaving":false,"running":0,"queued":0,"queued_prefill_tokens":0,)"    \
    R"("cached_pieces":0,"capacity_pieces":1,"prefill_tokens_per_second":1,)"               \
    R"("decode_seconds_per_token":1,"age_ms":0})"
#define STARTED_BY(incarnation)                                        \
    R"({"type":"started","attempt_id":"a","incarnation":)" incarnation \
    R"(,"cached_pieces":0,"total_pieces":0,)" LOAD "}\n"
#define STARTED STARTED_BY("7")
#define TOKEN(index)                                                       \
    R"({"type":"token","attempt_id":"a","index":)" index R"(,"text":"x"})" \
    "\n"
#define END(count) \
    R"({"type":"end","attempt_id":"a","reason":"length","tokens":)" count "," LOAD "}\n"

const scripted_answer scripted_answers[] = {
    {"body ends before the end", 200, STARTED TOKEN("0"), false, error_code::connection_lost, 1},
    {"cut in a line", 200, STARTED TOKEN("0") "{\"type\":\"tok", true, error_code::connection_lost,
     1},
    {"another attempt's token", 200,
     STARTED R"({"type":"token","attempt_id":"b","index":0,"text":""})"
             "\n",
     false, error_code::protocol_violation, 0},
    {"a gap", 200, STARTED TOKEN("0") TOKEN("2"), false, error_code::protocol_violation, 1},
    {"a repeat", 200, STARTED TOKEN("0") TOKEN("0"), false, error_code::protocol_violation, 1},
    {"a token before the start", 200, TOKEN("0"), false, error_code::protocol_violation, 0},
    {"another process", 200, STARTED_BY("8") TOKEN("0"), false, error_code::protocol_violation, 0},
    {"started twice", 200, STARTED STARTED, false, error_code::protocol_violation, 0},
    {"an end that counts more", 200, STARTED TOKEN("0") END("2"), false,
     error_code::protocol_violation, 1},
    {"an end at once", 200, END("0"), false, error_code::protocol_violation, 0},
    {"no JSON", 200, STARTED "token 0\n", false, error_code::protocol_violation, 0},
    {"unknown event", 200,
     STARTED R"({"type":"pause","attempt_id":"a"})"
             "\n",
     false, error_code::protocol_violation, 0},
    {"failure in the middle", 200,
     STARTED TOKEN("0") R"({"type":"error","attempt_id":"a","code":"failed","message":"x"})"
                        "\n",
     false, error_code::failed, 1},
    {"a refusal without proof", 503, "<html>", false, error_code::protocol_violation, 0},
    {"a refusal with an unknown code", 503,
     R"({"error":{"code":"new","message":"","execution":"not-run"}})", false,
     error_code::protocol_violation, 0},
    {"a refusal that may have run", 500,
     R"({"error":{"code":"failed","message":"","execution":"unknown"}})", false, error_code::failed,
     0},
};

runtime::task<void> check_fault(engine_bench& bench, const fault_row& row) {
    const engine_target target = bench.start_model();
    auto known = co_await bench.client.generate(target, request_of("known"));
    [[maybe_unused]] const auto first = co_await read_stream(known);
    bench.service().apply(*emulator::decode_faults(row.faults));
    generation_request request = request_of("a");
    row.change(request);
    const bool runs_out = row.code == error_code::timed_out;
    http_client client(bench.loop.scheduler, bench.connections,
                       runs_out ? short_limits() : generous_limits());
    auto stream = co_await client.generate(target, std::move(request));
    const stream_outcome heard = co_await read_stream(stream);
    check_failure(heard.failure, row.name, row.code, row.proves);
    cr_assert_eq(heard.indexes.size(), row.tokens, "%s", row.name);
    const bool ran = bench.service().executions().size() > 1;
    cr_assert(!ran || row.proves == proof::unknown, "%s: it ran", row.name);
}

runtime::task<void> answer_by(const scripted_answer& row, http::response_writer& writer) {
    [[maybe_unused]] const auto begun = co_await writer.begin_stream(row.status, {});
    [[maybe_unused]] const auto written = co_await writer.write(row.body);
    if (!row.cut) {
        [[maybe_unused]] const auto closed = co_await writer.end_stream();
    }
}

runtime::task<void> check_scripted(engine_bench& bench, const scripted_answer& row) {
    http::server server(
        bench.loop.scheduler, {},
        [&row](http::request, http::response_writer& writer) { return answer_by(row, writer); });
    const engine_target target{base::engine_name("e"), server.listen(ferryroad::test::any_port),
                               base::incarnation(first_process)};
    auto stream = co_await bench.client.generate(target, request_of("a"));
    const stream_outcome heard = co_await read_stream(stream);
    check_failure(heard.failure, row.name, row.code, proof::unknown);
    cr_assert_eq(heard.indexes.size(), row.tokens, "%s", row.name);
}

runtime::task<void> crash_cuts_the_stream(engine_bench& bench) {
    const engine_target target = bench.start_model();
    generation_request request = request_of("a");
    request.max_tokens = 1000;
    auto stream = co_await bench.client.generate(target, std::move(request));
    const stream_outcome before = co_await read_stream(stream, 2);
    cr_assert(!before.failure);
    bench.loop.scheduler.spawn("crash", bench.servers[0]->crash(1s));
    const stream_outcome cut = co_await read_stream(stream);
    check_failure(cut.failure, "crash", error_code::connection_lost, proof::unknown);
    auto refused = co_await bench.client.generate(target, request_of("b"));
    const stream_outcome down = co_await read_stream(refused);
    check_failure(down.failure, "down", error_code::connect_failed, proof::not_sent);
    co_await bench.loop.until([&] { return bench.servers[0]->is_open(); });
    auto late = co_await bench.client.generate(target, request_of("c"));
    const stream_outcome other = co_await read_stream(late);
    check_failure(other.failure, "back", error_code::refused_incarnation, proof::not_run);
    cr_assert_eq(bench.service().executions().size(), 1U);
}

}  // namespace

ParameterizedTestParameters(engine_client, faults) {
    return parameters_of(fault_rows);
}

ParameterizedTest(std::size_t* index, engine_client, faults) {
    const fault_row& row = fault_rows[*index];
    engine_bench bench;
    cr_assert(bench.loop.run([&] { return check_fault(bench, row); }), "%s", row.name);
}

ParameterizedTestParameters(engine_client, scripted) {
    return parameters_of(scripted_answers);
}

ParameterizedTest(std::size_t* index, engine_client, scripted) {
    const scripted_answer& row = scripted_answers[*index];
    engine_bench bench;
    cr_assert(bench.loop.run([&] { return check_scripted(bench, row); }), "%s", row.name);
}

Test(engine_client, crash_cuts_the_stream_and_changes_the_incarnation) {
    run_on_bench(crash_cuts_the_stream);
}
