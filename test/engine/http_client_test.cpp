/// Engine client against emulated engines: calls that succeed or recover.
#include "ferryroad/base/digest.hpp"
#include "test/engine/engine_fixture.hpp"

#include <criterion/criterion.h>

using namespace ferryroad;
using namespace ferryroad::engine;
using namespace ferryroad::engine::test;

namespace {

std::string answer_of(const generation_request& request) {
    const std::string digest = base::sha256_hex(*request.prompt);
    std::string text;
    for (std::uint32_t index = 0; index < request.max_tokens; ++index) {
        text += emulator::answer_token(digest, index);
    }
    return text;
}

application_request call_of(const std::string& attempt) {
    application_request call;
    call.request = base::request_id("r");
    call.attempt = base::attempt_id(attempt);
    call.key = base::idempotency_key("k");
    call.tenant = base::tenant_name("aire");
    call.expected_incarnation = base::incarnation(first_incarnation);
    call.method = "PUT";
    call.path = "/stations/3?full=1";
    call.content_type = "application/json";
    call.body = R"({"value":3})";
    call.time_left = 20s;
    return call;
}

runtime::task<void> complete_stream_reuses_the_connection(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    for (const char* id : {"a", "b", "c"}) {
        const generation_request request = request_of(id);
        auto stream = co_await fixture.client.generate(target, request);
        const stream_outcome outcome = co_await read_stream(stream);
        cr_assert(outcome.end && outcome.end->reason == finish_reason::length);
        cr_assert(outcome.text == answer_of(request));
        cr_assert_eq(outcome.started->total_pieces, 4U);
    }
    cr_assert(fixture.service().executions().back().cached_pieces == 4U);
}

runtime::task<void> cut_streams_are_resumed_until_complete(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    fixture.service().apply(*emulator::decode_faults(R"({"cut_after_tokens":2})"));
    const generation_request request = request_of("a");
    auto stream = co_await fixture.client.generate(target, request);
    stream_outcome outcome = co_await read_stream(stream);
    std::string text = outcome.text;
    std::uint32_t tokens = 0;
    while (!outcome.end) {
        tokens += static_cast<std::uint32_t>(outcome.indexes.size());
        if (tokens == request.max_tokens) {
            fixture.service().apply(*emulator::decode_faults(R"({"clear":true})"));
        }
        auto again = co_await fixture.client.resume(target, request.attempt, tokens);
        outcome = co_await read_stream(again);
        text += outcome.text;
    }
    cr_assert(text == answer_of(request), "%s", text.c_str());
    cr_assert_eq(fixture.service().executions().size(), 1U);
    cr_assert_eq(fixture.service().executions()[0].tokens, request.max_tokens);
    auto gone = co_await fixture.client.resume(target, base::attempt_id("none"), 0);
    cr_assert(gone.has_error() && gone.error().code == error_code::not_found);
}

runtime::task<void> cancel_stops_an_attempt_and_accepts_unknown_ones(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    generation_request request = request_of("a");
    request.max_tokens = 10000;
    auto stream = co_await fixture.client.generate(target, request);
    [[maybe_unused]] const auto begun = co_await read_stream(stream, 1);
    const auto cancelled = co_await fixture.client.cancel(target, request.attempt);
    cr_assert(cancelled.has_value());
    const stream_outcome rest = co_await read_stream(stream);
    cr_assert(rest.end && rest.end->reason == finish_reason::cancelled);
    const auto again = co_await fixture.client.cancel(target, request.attempt);
    cr_assert(again.has_value());
}

runtime::task<void> dropped_stream_detaches_the_attempt(engine_fixture& fixture) {
    emulator::engine_model_settings settings = fast_engine_settings();
    settings.detached_limit = 20ms;
    const engine_target target = fixture.start_model(settings);
    generation_request request = request_of("a");
    request.max_tokens = 10000;
    {
        auto stream = co_await fixture.client.generate(target, request);
        [[maybe_unused]] const auto begun = co_await read_stream(stream, 1);
    }
    co_await fixture.loop.until([&] { return fixture.service().idle(); });
    cr_assert(fixture.service().executions()[0].state == emulator::execution_state::cancelled);
}

runtime::task<void> load_events_and_orders(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    auto stream = co_await fixture.client.generate(target, request_of("a"));
    [[maybe_unused]] const auto outcome = co_await read_stream(stream);
    const auto events = co_await fixture.client.read_events(target, 1, 1s);
    cr_assert(events && events->events.size() == 4U && !events->gap);
    cr_assert(events->events[3].depth == 3U && events->events[3].scope == scope);
    engine_target older = target;
    older.incarnation = base::incarnation(6);
    const auto other = co_await fixture.client.read_events(older, 3, 1s);
    cr_assert(other && other->gap && other->incarnation == target.incarnation);

    const load_model_order newer{scope.model, base::weights_version("v2")};
    const auto accepted = co_await fixture.client.order(target, base::fencing_token(5), newer);
    cr_assert(accepted.has_value());
    const auto stale = co_await fixture.client.order(target, base::fencing_token(4), newer);
    cr_assert(stale.has_error() && stale.error().code == error_code::refused_stale_token);
    cr_assert(stale.error().proves == proof::not_run);
    base::weights_version loaded;
    while (loaded != newer.version) {
        const auto load = co_await fixture.client.read_load(target.address);
        cr_assert(load && load->kind == engine_kind::model);
        loaded = load->version;
    }
}

runtime::task<void> cached_state_is_imported_from_another_engine(engine_fixture& fixture) {
    const engine_target source = fixture.start_model();
    const engine_target target = fixture.start_model();
    const generation_request request = request_of("a");
    auto stream = co_await fixture.client.generate(source, request);
    [[maybe_unused]] const auto outcome = co_await read_stream(stream);
    import_request import;
    import.scope = scope;
    import.pieces = core::prefix::hash_pieces(scope, *request.prompt, 16);
    import.source = source;
    const auto moved = co_await fixture.client.import_state(target, import);
    cr_assert(moved && moved->imported_pieces == 4U);
    auto warm = co_await fixture.client.generate(target, request_of("b"));
    const stream_outcome second = co_await read_stream(warm);
    cr_assert_eq(second.started->cached_pieces, 4U);

    import.source.incarnation = base::incarnation(6);
    const auto older = co_await fixture.client.import_state(target, import);
    cr_assert(older.has_error() && older.error().code == error_code::refused_import);
    import.scope.tenant = base::tenant_name("other");
    const auto foreign = co_await fixture.client.import_state(target, import);
    cr_assert(foreign.has_error() && foreign.error().code == error_code::refused_import);
}

runtime::task<void> application_calls_are_passed_through(engine_fixture& fixture) {
    const engine_target target = fixture.start_application();
    const auto answer = co_await fixture.client.call_application(target, call_of("a"));
    cr_assert(answer && answer->status == 200U);
    cr_assert(answer->incarnation == target.incarnation);
    cr_assert_str_eq(
        answer->body.c_str(),
        R"({"request_id":"r","method":"PUT","path":"/stations/3?full=1","body":{"value":3}})");
    cr_assert(fixture.service().executions()[0].key == base::idempotency_key("k"));

    const auto known = co_await fixture.client.call_application(target, call_of("a"));
    cr_assert(known.has_error() && known.error().proves == proof::unknown);
    application_request misdirected = call_of("b");
    misdirected.expected_incarnation = base::incarnation(6);
    const auto other = co_await fixture.client.call_application(target, misdirected);
    cr_assert(other.has_error() && other.error().code == error_code::refused_incarnation);
    cr_assert(other.error().proves == proof::not_run);

    fixture.service().apply(*emulator::decode_faults(R"({"lost_answers":1})"));
    const auto lost = co_await fixture.client.call_application(target, call_of("c"));
    cr_assert(lost.has_error() && lost.error().code == error_code::connection_lost);
    cr_assert(lost.error().proves == proof::unknown);
    cr_assert_eq(fixture.service().executions().size(), 2U,
                 "the engine ran it although the response was lost");
    fixture.service().apply(*emulator::decode_faults(R"({"leaving":true})"));
    const auto leaving = co_await fixture.client.call_application(target, call_of("d"));
    cr_assert(leaving.has_error() && leaving.error().code == error_code::refused_leaving);
    cr_assert_eq(fixture.service().executions().size(), 2U);
}

runtime::task<void> graceful_stop_finishes_running_streams(engine_fixture& fixture) {
    const engine_target target = fixture.start_model();
    generation_request request = request_of("a");
    request.max_tokens = 400;
    auto stream = co_await fixture.client.generate(target, request);
    [[maybe_unused]] const auto begun = co_await read_stream(stream, 1);
    bool stopped = false;
    const auto stop = [&]() -> runtime::task<void> {
        co_await fixture.servers[0]->stop();
        stopped = true;
    };
    fixture.loop.scheduler.spawn("stop", stop());
    co_await fixture.loop.scheduler.sleep_for(1ms);
    auto refused = co_await fixture.client.generate(target, request_of("b"));
    cr_assert(refused.has_error() && refused.error().code == error_code::refused_leaving);
    const stream_outcome rest = co_await read_stream(stream);
    cr_assert(rest.end && rest.end->tokens == 400U);
    co_await fixture.loop.until([&] { return stopped; });
}

}  // namespace

Test(engine_client, complete_stream_reuses_the_connection) {
    run_with_fixture(complete_stream_reuses_the_connection);
}

Test(engine_client, cut_streams_are_resumed_until_complete) {
    run_with_fixture(cut_streams_are_resumed_until_complete);
}

Test(engine_client, cancel_stops_an_attempt_and_accepts_unknown_ones) {
    run_with_fixture(cancel_stops_an_attempt_and_accepts_unknown_ones);
}

Test(engine_client, dropped_stream_detaches_the_attempt) {
    run_with_fixture(dropped_stream_detaches_the_attempt);
}

Test(engine_client, load_events_and_orders) {
    run_with_fixture(load_events_and_orders);
}

Test(engine_client, cached_state_is_imported_from_another_engine) {
    run_with_fixture(cached_state_is_imported_from_another_engine);
}

Test(engine_client, application_calls_are_passed_through) {
    run_with_fixture(application_calls_are_passed_through);
}

Test(engine_client, graceful_stop_finishes_running_streams) {
    run_with_fixture(graceful_stop_finishes_running_streams);
}
