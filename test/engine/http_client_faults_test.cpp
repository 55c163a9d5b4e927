/// For every fault of an engine, the client must report the right error code and proof of
/// execution.
#include "test/engine/engine_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;
using namespace ferryroad::engine;
using namespace ferryroad::engine::test;

namespace {

struct fault_row {
    const char* name;
    const char*
        faults;  ///< Fault settings (JSON) of the emulated engine, applied before the request.
    void (*change)(generation_request&);
    error_code code;
    proof proves;
    std::size_t tokens;  ///< Tokens received before the error.
};

void unchanged(generation_request&) {}

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
    {"leaving", R"({"leaving":true})", unchanged, error_code::refused_leaving, proof::not_run, 0},
    {"overloaded", R"({"refuse_overloaded":true})", unchanged, error_code::refused_overloaded,
     proof::not_run, 0},
    {"answer lost", R"({"lost_answers":1})", unchanged, error_code::connection_lost, proof::unknown,
     0},
    {"cut before the first token", R"({"cut_after_tokens":0})", unchanged,
     error_code::connection_lost, proof::unknown, 0},
    {"cut in the middle", R"({"cut_after_tokens":3})", unchanged, error_code::connection_lost,
     proof::unknown, 3},
    {"cut within the end line", R"({"cut_after_tokens":5})", unchanged, error_code::connection_lost,
     proof::unknown, 5},
    {"frozen before admission", R"({"freeze_ms":60000})", unchanged, error_code::timed_out,
     proof::unknown, 0},
    {"next token too late", R"({"slow_factor":1000})", unchanged, error_code::timed_out,
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

/// Response of a scripted server. If `cut`, the connection closes without ending the body.
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
    {"body ends before the end event", 200, STARTED TOKEN("0"), false, error_code::connection_lost,
     1},
    {"cut within a line", 200, STARTED TOKEN("0") "{\"type\":\"tok", true,
     error_code::connection_lost, 1},
    {"another attempt's token", 200,
     STARTED R"({"type":"token","attempt_id":"b","index":0,"text":""})"
             "\n",
     false, error_code::protocol_violation, 0},
    {"token index skipped", 200, STARTED TOKEN("0") TOKEN("2"), false,
     error_code::protocol_violation, 1},
    {"token index repeated", 200, STARTED TOKEN("0") TOKEN("0"), false,
     error_code::protocol_violation, 1},
    {"a token before the start", 200, TOKEN("0"), false, error_code::protocol_violation, 0},
    {"another incarnation", 200, STARTED_BY("8") TOKEN("0"), false, error_code::protocol_violation,
     0},
    {"second started event", 200, STARTED STARTED, false, error_code::protocol_violation, 0},
    {"end counts too many tokens", 200, STARTED TOKEN("0") END("2"), false,
     error_code::protocol_violation, 1},
    {"end before the start", 200, END("0"), false, error_code::protocol_violation, 0},
    {"line is not JSON", 200, STARTED "token 0\n", false, error_code::protocol_violation, 0},
    {"unknown event", 200,
     STARTED R"({"type":"pause","attempt_id":"a"})"
             "\n",
     false, error_code::protocol_violation, 0},
    {"engine failure within the stream", 200,
     STARTED TOKEN("0") R"({"type":"error","attempt_id":"a","code":"failed","message":"x"})"
                        "\n",
     false, error_code::failed, 1},
    {"refusal with a foreign body", 503, "<html>", false, error_code::protocol_violation, 0},
    {"a refusal with an unknown code", 503,
     R"({"error":{"code":"new","message":"","execution":"not-run"}})", false,
     error_code::protocol_violation, 0},
    {"refusal that names no attempt", 503,
     R"({"error":{"code":"overloaded","message":"","execution":"not-run"}})", false,
     error_code::refused_overloaded, 0},
    {"failure with unknown execution", 500,
     R"({"error":{"code":"failed","message":"","execution":"unknown"}})", false, error_code::failed,
     0},
};

runtime::task<void> check_fault(engine_fixture& fixture, const fault_row& row) {
    const engine_target target = fixture.start_model();
    auto known = co_await fixture.client.generate(target, request_of("known"));
    [[maybe_unused]] const auto first = co_await read_stream(known);
    fixture.service().apply(*emulator::decode_faults(row.faults));
    generation_request request = request_of("a");
    row.change(request);
    const bool expects_timeout = row.code == error_code::timed_out;
    http_client client(fixture.loop.scheduler, fixture.connections,
                       expects_timeout ? short_limits() : generous_limits());
    auto stream = co_await client.generate(target, std::move(request));
    const stream_outcome outcome = co_await read_stream(stream);
    check_failure(outcome.failure, row.name, row.code, row.proves);
    cr_assert_eq(outcome.indexes.size(), row.tokens, "%s", row.name);
    const bool ran = fixture.service().executions().size() > 1;
    cr_assert(!ran || row.proves == proof::unknown, "%s: the engine ran it", row.name);
}

runtime::task<void> send_scripted(const scripted_answer& row, http::response_writer& writer) {
    [[maybe_unused]] const auto begun = co_await writer.begin_stream(row.status, {});
    [[maybe_unused]] const auto written = co_await writer.write(row.body);
    if (!row.cut) {
        [[maybe_unused]] const auto closed = co_await writer.end_stream();
    }
}

runtime::task<void> check_scripted(engine_fixture& fixture, const scripted_answer& row) {
    http::server server(fixture.loop.scheduler, {},
                        [&row](http::request, http::response_writer& writer) {
                            return send_scripted(row, writer);
                        });
    const engine_target target{base::engine_name("e"), server.listen(ferryroad::test::any_port),
                               base::incarnation(first_incarnation)};
    auto stream = co_await fixture.client.generate(target, request_of("a"));
    const stream_outcome outcome = co_await read_stream(stream);
    check_failure(outcome.failure, row.name, row.code, proof::unknown);
    cr_assert_eq(outcome.indexes.size(), row.tokens, "%s", row.name);
}

runtime::task<void> crash_cuts_the_stream(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    generation_request request = request_of("a");
    request.max_tokens = 1000;
    auto stream = co_await fixture.client.generate(target, std::move(request));
    const stream_outcome before = co_await read_stream(stream, 2);
    cr_assert(!before.failure);
    fixture.loop.scheduler.spawn("crash", fixture.servers[0]->crash(1s));
    const stream_outcome cut = co_await read_stream(stream);
    check_failure(cut.failure, "crash", error_code::connection_lost, proof::unknown);
    auto refused = co_await fixture.client.generate(target, request_of("b"));
    const stream_outcome down = co_await read_stream(refused);
    check_failure(down.failure, "down", error_code::connect_failed, proof::not_sent);
    co_await fixture.loop.until([&] { return fixture.servers[0]->is_open(); });
    auto late = co_await fixture.client.generate(target, request_of("c"));
    const stream_outcome other = co_await read_stream(late);
    check_failure(other.failure, "back", error_code::refused_incarnation, proof::not_run);
    cr_assert_eq(fixture.service().executions().size(), 1U);
}

std::string answer_of(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The engine sends a surplus refusal before its answer to the second call on a connection.
runtime::task<void> order_beside_a_surplus_refusal(engine_fixture& fixture) {
    const std::string refusal =
        answer_of("409", R"({"error":{"code":"stale_token","message":"","execution":"not-run"}})");
    const std::string accepted = answer_of("200", "{}");
    ferryroad::test::scripted_server server(
        fixture.loop, {{{accepted, refusal + accepted}, false}, {{accepted}, false}});
    const engine_target target{base::engine_name("e"), server.address(),
                               base::incarnation(first_incarnation)};
    auto cancelled = co_await fixture.client.cancel(target, base::attempt_id("a"));
    cr_assert(cancelled.has_value());
    engine_order wanted = load_adapter_order{base::adapter_name("x")};
    auto ordered = co_await fixture.client.order(target, base::fencing_token(1), std::move(wanted));
    cr_assert(ordered.has_value(), "%s", ordered.error().message.c_str());
}

}  // namespace

Test(engine_client, a_surplus_refusal_is_not_taken_for_that_of_an_order) {
    run_with_fixture(order_beside_a_surplus_refusal);
}

ParameterizedTestParameters(engine_client, faults) {
    return parameters_of(fault_rows);
}

ParameterizedTest(std::size_t* index, engine_client, faults) {
    const fault_row& row = fault_rows[*index];
    engine_fixture fixture;
    cr_assert(fixture.loop.run([&] { return check_fault(fixture, row); }), "%s", row.name);
}

ParameterizedTestParameters(engine_client, scripted) {
    return parameters_of(scripted_answers);
}

ParameterizedTest(std::size_t* index, engine_client, scripted) {
    const scripted_answer& row = scripted_answers[*index];
    engine_fixture fixture;
    cr_assert(fixture.loop.run([&] { return check_scripted(fixture, row); }), "%s", row.name);
}

Test(engine_client, crash_cuts_the_stream_and_changes_the_incarnation) {
    run_with_fixture(crash_cuts_the_stream);
}
