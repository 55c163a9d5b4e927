/// Tests of the emulated engine: refusals, streams, events, orders, warm state and faults.
#include "emulator/engine/engine_model.hpp"

#include "ferryroad/base/digest.hpp"
#include "test/emulator/engine/model_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>

using namespace ferryroad;
using namespace ferryroad::emulator;
using namespace ferryroad::emulator::test;
using engine::error_code;
using engine::proof;

namespace {

constexpr base::incarnation::representation first_process = 1;

struct refusal_row {
    const char* name;
    std::function<void(engine_model&, engine::generation_request&)> prepare;
    error_code code;
    proof proves;
};

const std::vector<refusal_row>& refusal_rows() {
    using model = engine_model;
    using request = engine::generation_request;
    static const std::vector<refusal_row> rows = {
        {"other incarnation",
         [](model&, request& sent) { sent.expected_incarnation = base::incarnation(2); },
         error_code::refused_incarnation, proof::not_run},
        {"no incarnation given",
         [](model&, request& sent) { sent.expected_incarnation = base::incarnation(0); },
         error_code::refused_incarnation, proof::not_run},
        {"older weights",
         [](model&, request& sent) { sent.scope.version = base::weights_version("v0"); },
         error_code::refused_version, proof::not_run},
        {"other model", [](model&, request& sent) { sent.scope.model = base::model_name("m2"); },
         error_code::refused_version, proof::not_run},
        {"adapter not loaded",
         [](model&, request& sent) { sent.scope.adapter = base::adapter_name("a"); },
         error_code::refused_version, proof::not_run},
        {"leaving", [](model& engine, request&) { engine.set_leaving(true); },
         error_code::refused_leaving, proof::not_run},
        {"set to refuse as overloaded",
         [](model& engine, request&) { engine.set_refuse_overloaded(true); },
         error_code::refused_overloaded, proof::not_run},
        {"queue full",
         [](model& engine, request&) {
             for (const char* id : {"a1", "a2", "a3"})  // One starts, two wait.
             {
                 cr_assert(engine.submit(request_of(id, prompt_of('x', 2)), at(0ms)).has_value());
             }
         },
         error_code::refused_overloaded, proof::not_run},
        {"over the context", [](model&, request& sent) { sent.max_tokens = 40000; },
         error_code::refused_bad_request, proof::not_run},
        {"first token past the end", [](model&, request& sent) { sent.first_token = 4; },
         error_code::refused_bad_request, proof::not_run},
        {"attempt already admitted",
         [](model& engine, request& sent) { cr_assert(engine.submit(sent, at(0ms)).has_value()); },
         error_code::refused_bad_request, proof::unknown},
        {"attempt admitted and cancelled",
         [](model& engine, request& sent) {
             cr_assert(engine.submit(sent, at(0ms)).has_value());
             engine.cancel(sent.attempt, at(0ms));
         },
         error_code::refused_bad_request, proof::unknown},
        {"model load ordered",
         [](model& engine, request&) {
             const engine::load_model_order order{scope.model, base::weights_version("v2")};
             cr_assert(engine
                           .order(order, base::fencing_token(1), base::incarnation(first_process),
                                  at(0ms))
                           .has_value());
         },
         error_code::refused_overloaded, proof::not_run},
        {"crashed", [](model& engine, request&) { engine.crash(at(0ms)); },
         error_code::connect_failed, proof::not_sent},
    };
    return rows;
}

engine_model small_model() {
    return engine_model(small_engine(), base::incarnation(first_process));
}

}  // namespace

ParameterizedTestParameters(engine_model, refusals) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < refusal_rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, engine_model, refusals) {
    const refusal_row& row = refusal_rows()[*index];
    engine_model model = small_model();
    engine::generation_request request = request_of("a0", prompt_of('p', 2));
    row.prepare(model, request);
    const std::size_t before = model.executions().size();
    const auto answer = model.submit(request, at(0ms));
    cr_assert(answer.has_error(), "%s", row.name);
    cr_assert(answer.error().code == row.code, "%s: %s", row.name, answer.error().message.c_str());
    cr_assert(answer.error().proves == row.proves, "%s", row.name);
    cr_assert_eq(model.executions().size(), before, "%s: a refused attempt left an execution",
                 row.name);
}

Test(engine_model, answers_have_the_expected_tokens_and_times) {
    engine_model model = small_model();
    const std::string prompt = prompt_of('p', 4);  // 16 tokens: two steps of 8 ms prefill + 10 ms.
    const attempt_handle attempt = *model.submit(request_of("a", prompt), at(0ms));
    cr_assert(model.advance(at(35ms)).size() == 1U,
              "only `started` is sent before the prefill is done");
    const transcript received = transcript_of(model.advance(at(1s)), attempt);
    const std::string digest = base::sha256_hex(prompt).substr(0, 8);
    const std::string expected = digest + ".0 " + digest + ".1 " + digest + ".2 ";
    cr_assert(received.text == expected, "%s", received.text.c_str());
    cr_assert_eq((received.first_token_at - at(0ms)).count(), base::duration(36ms).count());
    cr_assert(received.ended && received.ended->reason == engine::finish_reason::length);
    cr_assert_eq(received.ended->tokens, 3U);
    cr_assert(model.execution(attempt).state == execution_state::complete);
    cr_assert(!model.next_wakeup());
}

Test(engine_model, second_prompt_reuses_the_shared_prefix) {
    engine_model model = small_model();
    model.submit(request_of("a", prompt_of('p', 3)), at(0ms)).has_value();
    model.advance(at(1s));
    const attempt_handle second = *model.submit(request_of("b", prompt_of('p', 5)), at(1s));
    const transcript received = transcript_of(model.advance(at(2s)), second);
    cr_assert_eq(received.started->cached_pieces, 3U);
    cr_assert_eq(received.started->total_pieces, 5U);
    engine::generation_request foreign = request_of("c", prompt_of('p', 5));
    foreign.scope.tenant = base::tenant_name("other");
    const attempt_handle third = *model.submit(foreign, at(2s));
    cr_assert_eq(transcript_of(model.advance(at(3s)), third).started->cached_pieces, 0U);
}

Test(engine_model, higher_priority_prefills_first) {
    engine_model model = small_model();
    const attempt_handle low = *model.submit(request_of("low", prompt_of('l', 8), 1), at(0ms));
    auto urgent = request_of("high", prompt_of('h', 2), 1);
    urgent.urgency = engine::priority::high;
    const attempt_handle high = *model.submit(urgent, at(1ms));
    const auto outputs = model.advance(at(1s));
    cr_assert(transcript_of(outputs, high).first_token_at <
              transcript_of(outputs, low).first_token_at);
}

Test(engine_model, resumes_at_an_index_and_continues_another_engines_answer) {
    engine_model model = small_model();
    const std::string prompt = prompt_of('p', 2);
    const attempt_handle whole = *model.submit(request_of("a", prompt, 6), at(0ms));
    const transcript all = transcript_of(model.advance(at(40ms)), whole);
    cr_assert(!all.ended);
    cr_assert(model.resume(base::attempt_id("a"), 1, base::incarnation(1), at(40ms)).has_value());
    const transcript again = transcript_of(model.advance(at(1s)), whole);
    cr_assert(again.indexes == std::vector<std::uint32_t>({1, 2, 3, 4, 5}));
    cr_assert(again.started && again.ended && again.ended->tokens == 6U);
    cr_assert_eq(model.execution(whole).tokens, 6U, "a resume generates no token again");

    auto continued = request_of("b", prompt, 6);
    continued.first_token = 4;
    const attempt_handle rest = *model.submit(continued, at(1s));
    const transcript tail = transcript_of(model.advance(at(2s)), rest);
    cr_assert(tail.indexes == std::vector<std::uint32_t>({4, 5}));
    cr_assert(again.text.ends_with(tail.text), "%s", tail.text.c_str());

    const auto late = model.resume(base::attempt_id("a"), 1, base::incarnation(1), at(60s));
    cr_assert(late.error().code == error_code::not_found);
}

Test(engine_model, detached_attempts_are_cancelled_unless_resumed) {
    engine_model_settings settings = small_engine();
    settings.detached_limit = 50ms;
    engine_model model(settings, base::incarnation(1));
    const attempt_handle left = *model.submit(request_of("a", prompt_of('p', 2), 100), at(0ms));
    const attempt_handle kept = *model.submit(request_of("b", prompt_of('q', 2), 100), at(0ms));
    model.detach(left, at(20ms));
    model.detach(kept, at(20ms));
    cr_assert(model.resume(base::attempt_id("b"), 0, base::incarnation(1), at(30ms)).has_value());
    model.advance(at(10s));
    cr_assert(model.execution(left).state == execution_state::cancelled);
    cr_assert(model.execution(kept).state == execution_state::complete);
}

Test(engine_model, events_are_delayed_with_gaps_and_per_incarnation) {
    engine_model model = small_model();
    model.submit(request_of("a", prompt_of('p', 4), 1), at(0ms)).has_value();
    model.lose_events(1);
    model.advance(at(100ms));  // Two pieces are stored at 18 ms and two at 36 ms.
    cr_assert(model.events_since(base::incarnation(1), 1, at(217ms)).events.empty());
    const auto partial = model.events_since(base::incarnation(1), 1, at(220ms));
    cr_assert(partial.gap && partial.events.size() == 1U && partial.events[0].sequence == 2U);
    const auto rest = model.events_since(base::incarnation(1), partial.next_sequence, at(1s));
    cr_assert(!rest.gap && rest.events.size() == 2U);
    cr_assert_eq(rest.events[1].depth, 3U);
    model.crash(at(2s));
    model.restart(base::incarnation(2), at(3s));
    const auto fresh = model.events_since(base::incarnation(1), rest.next_sequence, at(3s));
    cr_assert(fresh.gap && fresh.events.empty() && fresh.incarnation.value == 2U);
}

Test(engine_model, load_is_reported_with_its_lag) {
    engine_model model = small_model();
    model.submit(request_of("a", prompt_of('p', 4), 100), at(1s)).has_value();
    cr_assert_eq(model.load(at(1100ms)).running, 0U);
    const engine::load_report later = model.load(at(1205ms));
    cr_assert_eq(later.running, 1U);
    cr_assert_eq(later.queued_prefill_tokens, 16U);
    cr_assert_eq(later.age.count(), base::duration(200ms).count());
}

Test(engine_model, orders_are_fenced_and_loads_change_the_namespace) {
    engine_model model = small_model();
    const base::incarnation process(1);
    const attempt_handle running = *model.submit(request_of("a", prompt_of('p', 2)), at(0ms));
    const engine::load_model_order newer{scope.model, base::weights_version("v2")};
    cr_assert(model.order(newer, base::fencing_token(5), process, at(1ms)).has_value());
    const auto stale = model.order(newer, base::fencing_token(4), process, at(2ms));
    cr_assert(stale.error().code == error_code::refused_stale_token);
    const auto other = model.order(newer, base::fencing_token(9), base::incarnation(2), at(2ms));
    cr_assert(other.error().code == error_code::refused_incarnation);
    model.advance(at(1s));
    cr_assert(model.execution(running).state == execution_state::complete,
              "a model load interrupts no attempt");
    cr_assert(model.load(at(4s)).version == base::weights_version("v1"));
    cr_assert(model.load(at(6s)).version == base::weights_version("v2"));
    auto request = request_of("b", prompt_of('p', 2));
    cr_assert(model.submit(request, at(6s)).error().code == error_code::refused_version);
    request.scope.version = base::weights_version("v2");
    const attempt_handle renewed = *model.submit(request, at(6s));
    cr_assert_eq(transcript_of(model.advance(at(7s)), renewed).started->cached_pieces, 0U);
}

Test(engine_model, import_refuses_invalid_state) {
    engine_model source = small_model();
    source.submit(request_of("a", prompt_of('p', 3), 1), at(0ms)).has_value();
    source.advance(at(1s));
    engine::import_request request;
    request.scope = scope;
    request.pieces = summarize_prompt(scope, prompt_of('p', 5), 16).pieces;
    request.source = {base::engine_name("e1"), {}, base::incarnation(1)};
    const exported_state state = *source.export_state(scope, request.pieces, at(1s));
    cr_assert_eq(state.pieces.size(), 3U);

    engine_model target(small_engine(), base::incarnation(7));
    const base::incarnation process(7);
    exported_state damaged = state;
    damaged.payload += "x";
    exported_state foreign = state;
    foreign.scope.tenant = base::tenant_name("other");
    exported_state older = state;
    older.process = base::incarnation(9);
    for (const exported_state& bad : {damaged, foreign, older}) {
        const auto answer = target.import_state(request, bad, process, at(1s));
        cr_assert(answer.error().code == error_code::refused_import);
    }
    cr_assert(target.import_state(request, state, base::incarnation(6), at(1s)).error().code ==
              error_code::refused_incarnation);
    const import_ticket ticket = *target.import_state(request, state, process, at(1s));
    cr_assert_eq((ticket.ready_at - at(1s)).count(), base::duration(45ms).count());
    cr_assert(target.export_state(scope, request.pieces, at(1044ms)).has_error());
    cr_assert_eq(target.export_state(scope, request.pieces, at(1045ms))->pieces.size(), 3U);
}

Test(engine_model, a_crash_keeps_only_the_executions) {
    engine_model model = small_model();
    const attempt_handle cut = *model.submit(request_of("a", prompt_of('p', 2), 9), at(0ms));
    model.advance(at(50ms));
    model.crash(at(60ms));
    cr_assert(!model.next_wakeup());
    model.restart(base::incarnation(2), at(1s));
    cr_assert(model.execution(cut).state == execution_state::failed);
    cr_assert_eq(model.execution(cut).process.value, 1U);
    auto request = request_of("b", prompt_of('p', 2));
    request.expected_incarnation = base::incarnation(2);
    const attempt_handle after = *model.submit(request, at(1s));
    cr_assert_eq(transcript_of(model.advance(at(2s)), after).started->cached_pieces, 0U);
    cr_assert(model.resume(base::attempt_id("a"), 0, base::incarnation(2), at(2s)).has_error());
    cr_assert_eq(model.executions().size(), 2U);
}

Test(engine_model, slow_and_frozen_engines_give_the_same_answers_later) {
    for (const bool frozen : {false, true}) {
        engine_model model = small_model();
        if (frozen) {
            model.freeze(at(0ms), 500ms);
        } else {
            model.set_slow_factor(10);
        }
        const attempt_handle attempt = *model.submit(request_of("a", prompt_of('p', 2)), at(0ms));
        const transcript received = transcript_of(model.advance(at(10s)), attempt);
        const base::duration expected = frozen ? 518ms : 180ms;
        cr_assert_eq((received.first_token_at - at(0ms)).count(), expected.count());
        cr_assert_eq(received.ended->tokens, 3U);
    }
}
