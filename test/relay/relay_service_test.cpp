/// Tests the response that a caller receives and the dispatches that engines receive for each way
/// in which an exchange can end.
#include "test/relay/fake_upstream.hpp"

#include <thread>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using core::execution::failure_kind;
using core::execution::failure_proof;

namespace {

scripted_answer whole(unsigned status, std::string text) {
    scripted_answer one;
    one.status = status;
    one.stream = false;
    one.body = {bytes(std::move(text)), body_end};
    return one;
}

scripted_answer stream(std::vector<body_step> steps, std::string signature = "sig") {
    scripted_answer one;
    one.body = std::move(steps);
    one.signature = std::move(signature);
    return one;
}

scripted_answer fails(failure_kind kind, failure_proof proof) {
    scripted_answer one;
    one.failure = failure(kind, proof);
    return one;
}

runtime::task<void> disconnect_once_open(relay_fixture& fixture) {
    co_await fixture.loop.until([&fixture] { return *fixture.upstream.open_bodies == 1; });
    fixture.writer.closed = true;
}

runtime::task<void> revoke_key_once_dispatched(relay_fixture& fixture) {
    co_await fixture.loop.until([&fixture] { return !fixture.upstream.dispatches.empty(); });
    auto changed = relay_fixture::declared(2);
    changed.tenants[0].keys = {"another"};
    fixture.policies.offer(std::move(changed));
}

/// @return an answer whose connection takes 20 ms to open.
scripted_answer slowly_connected(scripted_answer one) {
    one.connecting = 20ms;
    return one;
}

runtime::task<void> register_again_once_dispatched(relay_fixture& fixture, bool leaving) {
    co_await fixture.loop.until([&fixture] { return !fixture.upstream.dispatches.empty(); });
    listed_engine one = relay_fixture::listed(fixture.upstream.engines[0].c_str());
    one.leaving = leaving;
    fixture.registry.replace_all({one}, fixture.loop.scheduler.now());
}

/// Keeps the event loop busy from before to after the request's deadline, so that everything that
/// falls due meanwhile happens at once.
runtime::task<void> block_around(relay_fixture& fixture, base::duration deadline) {
    co_await fixture.loop.scheduler.sleep_for(deadline - 10ms);
    std::this_thread::sleep_for(25ms);
}

void serve_with(relay_fixture& fixture, relay_service<fake_upstream>& service, relay_call one) {
    fixture.loop.context.restart();
    const auto served = [&]() -> runtime::task<void> {
        co_await service.handle(std::move(one), fixture.writer);
    };
    cr_assert(fixture.loop.run(served));
}

std::string header(const recorded_writer& writer, std::string_view name) {
    return std::string(writer.headers.find(name).value_or(""));
}

}  // namespace

Test(relay_service, forwards_a_whole_answer_unchanged) {
    relay_fixture fixture;
    fixture.answer(whole(200, "hello"));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_str_eq(fixture.writer.body.c_str(), "hello");
    cr_assert(header(fixture.writer, "X-Response-Signature") == "sig");
    cr_assert_eq(fixture.writer.final_answers, 1);
    cr_assert_str_eq(fixture.upstream.dispatches[0].tenant->value.c_str(), "t");
}

// The last dispatch fails in the same turn of the event loop in which the deadline passes.
Test(relay_service, a_refusal_that_is_due_as_the_deadline_passes_is_sent) {
    struct row {
        failure_proof proof;
        unsigned status;
    };
    for (const row& each : {row{failure_proof::not_sent, 503}, row{failure_proof::unknown, 504}}) {
        relay_fixture fixture;
        scripted_answer failing;
        failing.failure = failure(failure_kind::rejected, each.proof);
        failing.delay = 101ms;
        fixture.answer(std::move(failing));
        relay_call call = fixture.call("/unsafe/");
        call.time_left = 100ms;
        fixture.loop.scheduler.spawn("block", block_around(fixture, 100ms));
        fixture.serve(std::move(call));
        cr_assert_eq(fixture.writer.final_answers, 1);
        cr_assert(fixture.outcomes.at(0).refusal.has_value());
        cr_assert_eq(fixture.writer.status, each.status);
    }
}

Test(relay_service, forwards_events_and_ends_only_with_the_engines_stream) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1) + "id: 2\n"), bytes("data: x\n\n"), body_end}));
    fixture.serve(fixture.call("/stream/"));
    cr_assert(fixture.writer.body == event(1) + event(2));
    cr_assert_eq(fixture.writer.final_answers, 1);
    cr_assert_not(fixture.writer.aborted);
}

Test(relay_service, a_broken_stream_that_may_not_be_resumed_never_looks_complete) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1)), body_broken}));
    fixture.serve(fixture.call("/stream/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert(fixture.writer.aborted);
    cr_assert_eq(fixture.writer.final_answers, 0);
}

Test(relay_service, a_stream_that_ends_within_an_event_is_broken) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1) + "id: 2\nda"), body_end}));
    fixture.serve(fixture.call("/stream/"));
    cr_assert(fixture.writer.aborted);
    cr_assert(fixture.writer.body == event(1));
}

Test(relay_service, a_resumable_stream_continues_at_another_engine_in_the_same_response) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1) + event(2) + "id: 3\n"), body_broken}, "first"));
    fixture.answer(stream({bytes(event(3)), bytes(event(4)), body_end}, "second"));
    fixture.serve(fixture.call("/resumable/"));
    cr_assert(fixture.writer.body == event(1) + event(2) + event(3) + event(4));
    cr_assert_eq(fixture.writer.streams, 1);
    cr_assert_eq(fixture.writer.final_answers, 1);
    cr_assert(header(fixture.writer, "X-Response-Signature") == "first");
    cr_assert_neq(fixture.upstream.engines[0], fixture.upstream.engines[1]);
    cr_assert_eq(fixture.upstream.dispatches[1].resume_after, 2U);
}

Test(relay_service, events_out_of_order_break_the_stream) {
    for (const std::uint64_t wrong : {1U, 3U}) {
        relay_fixture fixture;
        fixture.answer(stream({bytes(event(1) + event(wrong)), body_end}));
        fixture.serve(fixture.call("/stream/"));
        cr_assert(fixture.writer.aborted);
        cr_assert(fixture.writer.body == event(1));
    }
}

Test(relay_service, a_resuming_caller_gets_the_following_events) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(8)), body_end}));
    relay_call call = fixture.call("/resumable/");
    call.last_event_id = 7;
    fixture.serve(std::move(call));
    cr_assert_eq(fixture.upstream.dispatches[0].resume_after, 7U);
    cr_assert(fixture.writer.body == event(8));
}

Test(relay_service, a_stream_without_events_keeps_the_engines_status_and_headers) {
    relay_fixture fixture;
    fixture.answer(stream({body_end}));
    relay_call call = fixture.call("/resumable/");
    call.last_event_id = 7;  // The last event of the stream.
    fixture.serve(std::move(call));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert(header(fixture.writer, "X-Response-Signature") == "sig");
    cr_assert(fixture.writer.body.empty());
    cr_assert_eq(fixture.writer.final_answers, 1);
}

Test(relay_service, a_stream_that_ends_before_its_first_event_is_broken) {
    relay_fixture fixture;
    fixture.answer(stream({body_end}));
    fixture.serve(fixture.call("/stream/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert_eq(fixture.writer.status, 502);
    cr_assert(header(fixture.writer, "X-Response-Signature").empty());
}

Test(relay_service, a_resumable_stream_without_events_goes_to_another_engine) {
    relay_fixture fixture;
    fixture.answer(stream({body_end}, "first"));
    fixture.answer(stream({bytes(event(1)), body_end}, "second"));
    fixture.serve(fixture.call("/resumable/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
    cr_assert(fixture.writer.body == event(1));
    cr_assert(header(fixture.writer, "X-Response-Signature") == "second");
}

Test(relay_service, an_unrepeatable_request_that_may_have_run_is_not_retried) {
    relay_fixture fixture;
    fixture.answer(fails(failure_kind::broken, failure_proof::unknown));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert_eq(fixture.writer.status, 502);
    cr_assert(header(fixture.writer, "Retry-After").empty());
}

Test(relay_service, a_request_that_did_not_run_is_retried_at_another_engine) {
    relay_fixture fixture;
    fixture.answer(fails(failure_kind::overloaded, failure_proof::not_run));
    fixture.answer(whole(200, "ok"));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_neq(fixture.upstream.engines[0], fixture.upstream.engines[1]);
}

Test(relay_service, a_request_that_did_not_run_gets_503_and_retry_after) {
    relay_fixture fixture;
    fixture.answer(fails(failure_kind::overloaded, failure_proof::not_run));
    fixture.answer(fails(failure_kind::overloaded, failure_proof::not_run));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(!header(fixture.writer, "Retry-After").empty());
}

Test(relay_service, a_request_that_may_have_run_before_a_refusal_gets_502) {
    relay_fixture fixture;
    fixture.answer(fails(failure_kind::broken, failure_proof::unknown));
    fixture.answer(fails(failure_kind::overloaded, failure_proof::not_run));
    fixture.serve(fixture.call("/safe/"));
    cr_assert_eq(fixture.writer.status, 502);
}

Test(relay_service, an_engine_error_is_retried_if_repeatable_and_the_last_one_forwarded) {
    relay_fixture fixture;
    fixture.answer(whole(500, "bad"));
    fixture.answer(whole(500, "worse"));
    fixture.serve(fixture.call("/safe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
    cr_assert_eq(fixture.writer.status, 500);
    cr_assert_str_eq(fixture.writer.body.c_str(), "worse");
}

Test(relay_service, an_engine_error_is_forwarded_if_not_repeatable) {
    relay_fixture fixture;
    fixture.answer(whole(500, "bad"));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert_eq(fixture.writer.status, 500);
}

// Guards against a caller being told that its request did not run by an engine that ran it.
Test(relay_service, an_unproven_refusal_of_an_unrepeatable_request_is_not_passed_on) {
    for (const char* route : {"/unsafe/", "/stream/"}) {
        for (const unsigned status : {408U, 429U, 503U}) {
            relay_fixture fixture;
            scripted_answer refusal = whole(status, "busy");
            refusal.status_promises_not_run = true;
            fixture.answer(refusal);
            fixture.serve(fixture.call(route));
            cr_expect_eq(fixture.upstream.dispatches.size(), 1, "%s %u", route, status);
            cr_expect_eq(fixture.writer.status, 502, "%s %u", route, status);
            cr_expect(header(fixture.writer, "X-Response-Signature").empty(), "%s %u", route,
                      status);
            cr_expect(fixture.writer.body != "busy", "%s %u", route, status);
            cr_expect_eq(fixture.writer.final_answers, 1, "%s %u", route, status);
        }
    }
}

Test(relay_service, an_unproven_refusal_of_a_repeatable_request_is_passed_on) {
    for (const char* route : {"/safe/", "/resumable/"}) {
        relay_fixture fixture;
        for (const char* text : {"first", "second"}) {
            scripted_answer refusal = whole(503, text);
            refusal.status_promises_not_run = true;
            fixture.answer(refusal);
        }
        fixture.serve(fixture.call(route));
        cr_expect_eq(fixture.upstream.dispatches.size(), 2, "%s", route);
        cr_expect_eq(fixture.writer.status, 503, "%s", route);
        cr_expect(fixture.writer.body == "second", "%s", route);
    }
}

Test(relay_service, never_runs_on_more_engines_than_the_route_allows) {
    relay_fixture fixture;
    for (int index = 0; index < 6; ++index) {
        fixture.answer(fails(failure_kind::broken, failure_proof::unknown));
    }
    fixture.serve(fixture.call("/safe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
}

Test(relay_service, a_request_to_a_silent_engine_gets_504_at_the_routes_timeout) {
    relay_fixture fixture;
    const auto began = fixture.loop.scheduler.now();
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 504);
    cr_assert(fixture.loop.scheduler.now() - began >= 290ms);
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
}

Test(relay_service, a_repeatable_request_is_retried_if_its_engine_is_silent) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1)), body_silence}));
    fixture.answer(stream({bytes(event(2)), body_end}));
    fixture.serve(fixture.call("/resumable/"));
    cr_assert(fixture.writer.body == event(1) + event(2));
    cr_assert_eq(*fixture.upstream.open_bodies, 0);
}

Test(relay_service, the_silence_limit_includes_the_prefill_time) {
    relay_fixture fixture;
    for (const std::uint64_t tokens : {std::uint64_t{100}, std::uint64_t{2100}}) {
        fixture.loop.context.restart();
        fixture.answer(stream({bytes(event(1)), body_end}));
        relay_call call = fixture.call("/resumable/");
        call.prompt = core::prefix::declared_prompt{"m", {{"own", tokens}}, tokens, 10};
        fixture.serve(std::move(call));
    }
    const base::duration longer = fixture.upstream.limits.at(1) - fixture.upstream.limits.at(0);
    cr_assert(longer > 99ms && longer < 101ms);
}

Test(relay_service, a_caller_that_disconnects_cancels_the_exchange) {
    relay_fixture fixture;
    fixture.answer(stream({bytes(event(1)), body_silence}));
    fixture.loop.scheduler.spawn("leave", disconnect_once_open(fixture));
    fixture.serve(fixture.call("/stream/"));
    cr_assert_eq(*fixture.upstream.open_bodies, 0);
    cr_assert_eq(fixture.writer.final_answers, 0);
    cr_assert(fixture.outcomes.at(0).refusal->cause == refusal_cause::caller_gone);
}

Test(relay_service, the_deadline_is_the_callers_or_the_routes_whichever_is_first) {
    relay_fixture fixture;
    fixture.answer(whole(200, "ok"));
    relay_call call = fixture.call("/unsafe/");
    call.time_left = 50ms;
    fixture.serve(std::move(call));
    cr_assert(fixture.upstream.dispatches[0].time_left <= 50ms);
    relay_fixture other;
    other.answer(whole(200, "ok"));
    other.serve(other.call("/unsafe/"));
    cr_assert(other.upstream.dispatches[0].time_left <= 300ms);
}

core::traffic::declaration public_routes() {
    auto declared = relay_fixture::declared();
    for (core::traffic::route& one : declared.routes) {
        one.is_public = true;
    }
    return declared;
}

struct unresolved_row {
    const char* name;
    const char* path;
    const char* key;
    base::duration age;  ///< Time since the policy was confirmed.
    unsigned status;
};
const unresolved_row unresolved_rows[] = {
    {"no such route", "/none/", "key", 0ms, 404},
    {"no such route, perhaps", "/none/", "key", 2500ms, 503},
    {"no such key", "/safe/", "other", 0ms, 401},
    {"no such key, perhaps", "/safe/", "other", 2500ms, 503},
    {"keys not confirmed", "/safe/", "key", 3500ms, 503},
};

Test(relay_service, requests_without_a_matching_route_or_key_are_refused) {
    for (const unresolved_row& row : unresolved_rows) {
        relay_fixture fixture;
        policy_source& policies = fixture.policies;
        policies = policy_source(policy_staleness_limits{3s, 2s});
        policies.offer(relay_fixture::declared());
        policies.confirm(fixture.loop.scheduler.now() - row.age);
        relay_call call = fixture.call(row.path);
        call.api_key = row.key;
        fixture.serve(std::move(call));
        cr_assert_eq(fixture.writer.status, row.status, "%s: %u", row.name, fixture.writer.status);
        cr_assert(fixture.upstream.dispatches.empty(), "%s", row.name);
    }
}

struct public_row {
    const char* name;
    std::optional<std::string> key;
    bool invalid_credentials;
    base::duration age;  ///< Time since the policy was confirmed.
    unsigned status;
    const char* tenant;  ///< That the engine is told; null: none.
};
const public_row public_rows[] = {
    {"key of a tenant", "key", false, 0ms, 200, "t"},
    {"key of nobody", "other", false, 0ms, 401, nullptr},
    {"empty key", "", false, 0ms, 401, nullptr},
    {"invalid credentials", std::nullopt, true, 0ms, 401, nullptr},
    {"no key", std::nullopt, false, 0ms, 200, nullptr},
    {"key of a tenant, not confirmed", "key", false, 3500ms, 503, nullptr},
    {"key of nobody, perhaps", "other", false, 2500ms, 503, nullptr},
    {"no key, nothing confirmed", std::nullopt, false, 3500ms, 200, nullptr},
};

// Guards against a request that presents credentials being run as one without any.
Test(relay_service, credentials_count_on_public_routes_and_none_are_needed) {
    for (const public_row& row : public_rows) {
        relay_fixture fixture;
        fixture.answer(whole(200, "ok"));
        fixture.policies = policy_source(policy_staleness_limits{3s, 2s});
        fixture.policies.offer(public_routes());
        fixture.policies.confirm(fixture.loop.scheduler.now() - row.age);
        relay_call call = fixture.call("/safe/");
        call.api_key = row.key;
        call.has_invalid_credentials = row.invalid_credentials;
        fixture.serve(std::move(call));
        cr_assert_eq(fixture.writer.status, row.status, "%s: %u", row.name, fixture.writer.status);
        const auto& sent = fixture.upstream.dispatches;
        cr_assert_eq(sent.size(), row.status == 200 ? 1U : 0U, "%s", row.name);
        const std::string told = sent.empty() || !sent[0].tenant ? "" : sent[0].tenant->value;
        cr_assert(told == (row.tenant == nullptr ? "" : row.tenant), "%s: %s", row.name,
                  told.c_str());
    }
}

struct keyless_row {
    const char* name;
    std::optional<std::string> key;
    bool invalid_credentials;
    base::duration age;  ///< Time since the policy was confirmed.
    unsigned status;
};
const keyless_row keyless_rows[] = {
    {"no key", std::nullopt, false, 2500ms, 200},
    {"a key", "key", false, 0ms, 200},
    {"invalid credentials", std::nullopt, true, 0ms, 200},
    {"a key, perhaps of a tenant by now", "key", false, 2500ms, 503},
};

// Guards against a tenant's request being run as nobody's before this router knows any tenant.
Test(relay_service, a_policy_without_tenants_ignores_keys_only_while_it_is_confirmed) {
    for (const keyless_row& row : keyless_rows) {
        relay_fixture fixture;
        fixture.answer(whole(200, "ok"));
        auto declared = relay_fixture::declared();
        declared.tenants.clear();
        fixture.policies = policy_source(policy_staleness_limits{3s, 2s});
        fixture.policies.offer(std::move(declared));
        fixture.policies.confirm(fixture.loop.scheduler.now() - row.age);
        relay_call call = fixture.call("/safe/");
        call.api_key = row.key;
        call.has_invalid_credentials = row.invalid_credentials;
        fixture.serve(std::move(call));
        cr_assert_eq(fixture.writer.status, row.status, "%s: %u", row.name, fixture.writer.status);
    }
}

runtime::task<void> declare_tenants_once_dispatched(relay_fixture& fixture) {
    co_await fixture.loop.scheduler.sleep_for(10ms);
    auto declared = public_routes();
    ++declared.version;
    fixture.policies.offer(std::move(declared));
}

// Guards against a retry that runs as nobody's although the key has become a tenant's meanwhile.
Test(relay_service, a_key_that_becomes_a_tenants_before_a_retry_is_not_ignored) {
    relay_fixture fixture;
    auto declared = public_routes();
    declared.tenants.clear();
    fixture.policies = policy_source(policy_staleness_limits{3s, 2s});
    fixture.policies.offer(std::move(declared));
    fixture.policies.confirm(fixture.loop.scheduler.now());
    scripted_answer refused = fails(failure_kind::overloaded, failure_proof::not_run);
    refused.delay = 20ms;
    fixture.answer(std::move(refused));
    fixture.answer(whole(200, "ok"));
    fixture.loop.scheduler.spawn("declare", declare_tenants_once_dispatched(fixture));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert_eq(fixture.writer.status, 503);
}

Test(relay_service, without_a_policy_it_answers_503) {
    relay_fixture fixture;
    fixture.policies = policy_source(policy_staleness_limits{3s, 2s});
    fixture.serve(fixture.call("/safe/"));
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(!header(fixture.writer, "Retry-After").empty());
}

Test(relay_service, a_key_revoked_before_a_retry_is_not_accepted) {
    relay_fixture fixture;
    scripted_answer refused = fails(failure_kind::overloaded, failure_proof::not_run);
    refused.delay = 20ms;
    fixture.answer(std::move(refused));
    fixture.answer(whole(200, "ok"));
    fixture.loop.scheduler.spawn("revoke", revoke_key_once_dispatched(fixture));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 1);
    cr_assert_eq(fixture.writer.status, 503);
}

Test(relay_service, a_key_revoked_while_a_connection_is_opened_is_not_accepted) {
    relay_fixture fixture;
    fixture.answer(slowly_connected(whole(200, "ok")));
    fixture.loop.scheduler.spawn("revoke", revoke_key_once_dispatched(fixture));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert_not(header(fixture.writer, "Retry-After").empty());
    cr_assert_eq(fixture.upstream.answers.size(), 1, "nothing was sent");
    cr_assert_eq(fixture.outcomes.at(0).dispatches, 0);
    cr_assert(fixture.upstream.looks.at(0).lost == dispatch_precondition::key);
}

Test(relay_service, an_engine_that_shuts_down_while_a_connection_is_opened_has_not_failed) {
    relay_fixture fixture;
    relay_settings settings = relay_fixture::settings_of();
    settings.retries = {0.0, 0};  // No retry is allowed, and none is needed, as nothing is sent.
    fixture.service.change_settings(settings);
    fixture.registry.replace_all({relay_fixture::listed("e1")}, fixture.loop.scheduler.now());
    fixture.releases.engines_changed(fixture.loop.scheduler.now());
    fixture.answer(slowly_connected(whole(200, "ok")));
    fixture.loop.scheduler.spawn("leave", register_again_once_dispatched(fixture, true));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.upstream.looks.at(0).lost == dispatch_precondition::engine_stays);
    const known_engine* engine = fixture.registry.find(base::engine_name("e1"));
    cr_assert_not(engine->health.suspended(fixture.loop.scheduler.now()));
    cr_assert(engine->refuses_until <= fixture.loop.scheduler.now());
    cr_assert_eq(engine->running, 0);
}

Test(relay_service, an_unsent_dispatch_goes_to_another_engine_without_using_the_retry_budget) {
    for (const char* path : {"/unsafe/", "/safe/", "/stream/", "/resumable/"}) {
        relay_fixture fixture;
        relay_settings settings = relay_fixture::settings_of();
        settings.retries = {0.0, 0};
        fixture.service.change_settings(settings);
        fixture.answer(slowly_connected(whole(200, "ok")));
        const auto leave = [&fixture](const base::engine_name& chosen) {
            listed_engine one = relay_fixture::listed(chosen.value.c_str());
            one.leaving = true;
            fixture.registry.put(one, fixture.loop.scheduler.now());
        };
        bool left = false;
        relay_service<fake_upstream> told(
            {fixture.loop.scheduler, fixture.upstream, fixture.registry, fixture.selection,
             fixture.policies,
             [&](const base::engine_name& chosen, const auto&, std::uint64_t) {
                 if (!std::exchange(left, true)) {
                     leave(chosen);
                 }
             }},
            settings, [](const relay_plan&, const relay_outcome&) {});
        serve_with(fixture, told, fixture.call(path));
        cr_assert_eq(fixture.writer.status, 200, "%s", path);
        cr_assert_eq(fixture.upstream.engines.size(), 2, "%s", path);
        cr_assert_neq(fixture.upstream.engines[0], fixture.upstream.engines[1]);
        cr_assert_not(fixture.upstream.dispatches[1].fresh_connection, "no connection broke");
    }
}

Test(relay_service, the_time_left_is_computed_once_the_connection_is_open) {
    relay_fixture fixture;
    fixture.answer(slowly_connected(whole(200, "ok")));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    const base::duration at_choice = fixture.upstream.dispatches.at(0).time_left;
    cr_assert(fixture.upstream.looks.at(0).time_left <= at_choice - 20ms);
}

namespace {

/// A service whose tenant has a quota; records the amounts counted.
struct limited_fixture : relay_fixture {
    std::vector<double> counted;
    quotas::quota_decision decided;

    limited_fixture() {
        auto limited = declared(2);
        limited.tenants[0].quota =
            core::traffic::tenant_quota{core::traffic::quota_unit::tokens, 1000, 500, 200};
        policies.offer(std::move(limited));
    }
    runtime::task<quotas::quota_decision> count(double amount) {
        counted.push_back(amount);
        co_return decided;
    }
    void serve_limited(relay_call one) {
        relay_service<fake_upstream> limited(
            {loop.scheduler, upstream, registry, selection, policies, nullptr,
             [this](const base::tenant_name&, const quotas::rate_limit&, double amount) {
                 return count(amount);
             }},
            settings_of(),
            [this](const relay_plan&, const relay_outcome& told) { outcomes.push_back(told); });
        cr_assert(loop.run(
            [&]() -> runtime::task<void> { co_await limited.handle(std::move(one), writer); }));
    }
};

}  // namespace

Test(relay_service, a_request_over_quota_is_refused_and_never_sent) {
    limited_fixture fixture;
    fixture.decided.verdict = {false, 250ms, 7};
    relay_call call = fixture.call("/unsafe/");
    call.declared_tokens = 1540;
    fixture.serve_limited(std::move(call));
    cr_assert_eq(fixture.writer.status, 429);
    cr_assert(header(fixture.writer, "Retry-After") == "0.25");
    cr_assert(fixture.upstream.dispatches.empty());
    cr_assert_eq(fixture.counted.at(0), 1540);
    cr_assert(fixture.outcomes.at(0).refusal->cause == refusal_cause::over_quota);
}

Test(relay_service, a_request_without_declared_tokens_counts_the_tenants_default) {
    limited_fixture fixture;
    fixture.decided.verdict = {true, {}, 7};
    fixture.answer(whole(200, "hello"));
    fixture.serve_limited(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.counted.at(0), 200);
}

Test(relay_service, only_streams_are_shed_while_engines_are_overloaded) {
    relay_fixture fixture;
    for (int request = 0; request < 60; ++request) {
        scripted_answer late = stream({bytes(event(1)), body_end});
        late.delay = 25ms;  // Close to the target latency of 30 ms set below.
        fixture.answer(std::move(late));
    }
    auto short_latencies = relay_fixture::declared(2);
    for (core::traffic::route& one : short_latencies.routes) {
        one.target_latency = 30ms;
    }
    fixture.policies.offer(std::move(short_latencies));
    std::size_t shed = 0;
    for (int request = 0; request < 40; ++request) {
        fixture.loop.context.restart();
        relay_call call = fixture.call("/stream/");
        call.id.value = "r" + std::to_string(request);
        const std::size_t sent = fixture.upstream.dispatches.size();
        fixture.serve(std::move(call));
        if (fixture.upstream.dispatches.size() == sent) {
            ++shed;
            cr_assert_eq(fixture.writer.status, 503);
            cr_assert_not(header(fixture.writer, "Retry-After").empty());
            cr_assert(fixture.outcomes.back().refusal->report ==
                      core::execution::execution_report::not_run);
        }
    }
    cr_assert_gt(shed, 3);
    cr_assert_gt(fixture.service.shed_share(), 0);
    fixture.upstream.answers.clear();
    fixture.answer(whole(200, "hello"));
    fixture.loop.context.restart();
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
}

Test(relay_service, a_router_that_shuts_down_refuses_requests) {
    relay_fixture fixture;
    fixture.service.refuse_new();
    fixture.serve(fixture.call("/safe/"));
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.upstream.dispatches.empty());
}

Test(relay_service, retries_stay_within_the_budget) {
    relay_fixture fixture;
    relay_settings settings = relay_fixture::settings_of();
    settings.retries = {0.0, 3};
    fixture.service.change_settings(settings);
    for (int request = 0; request < 8; ++request) {
        fixture.upstream.answers.clear();
        for (int index = 0; index < 4; ++index) {
            fixture.answer(fails(failure_kind::overloaded, failure_proof::not_run));
        }
        fixture.loop.context.restart();
        fixture.serve(fixture.call("/safe/"));
    }
    cr_assert_eq(fixture.upstream.dispatches.size(), 8 + 3, "%zu",
                 fixture.upstream.dispatches.size());
}

/// While a rollout's orders reach the engines, several of them refuse requests within a second.
/// Each refused request is retried at another engine, since earlier requests left retries in the
/// budget.
Test(relay_service, consecutive_refusals_are_retried_from_unused_budget) {
    relay_fixture fixture;
    relay_settings settings = relay_fixture::settings_of();
    settings.retries = {0.15, 1.5, 10s};
    fixture.service.change_settings(settings);
    const auto serve = [&fixture](bool refused) {
        fixture.upstream.answers.clear();
        if (refused) {
            fixture.answer(fails(failure_kind::stale_target, failure_proof::not_run));
        }
        fixture.answer(whole(200, "ok"));
        fixture.loop.context.restart();
        fixture.serve(fixture.call("/unsafe/"));
        cr_assert_eq(fixture.writer.status, 200);
    };
    for (int request = 0; request < 40; ++request) {
        serve(request >= 35);
    }
    cr_assert_eq(fixture.upstream.dispatches.size(), 45);
    cr_assert_not(fixture.upstream.dispatches.back().fresh_connection, "no connection broke");
}

// Guards against a surplus answer to the first dispatch taken for that to the second: an engine's
// process may be listed under a new name when the request is sent there again.
Test(relay_service, a_request_sent_to_an_address_again_gets_a_new_connection) {
    for (const bool same_address : {false, true}) {
        relay_fixture fixture;
        listed_engine first = relay_fixture::listed("e1");
        listed_engine second = relay_fixture::listed("e2");
        if (same_address) {
            second.address = first.address;
        }
        fixture.registry.replace_all({first, second}, fixture.loop.scheduler.now());
        fixture.answer(fails(failure_kind::stale_target, failure_proof::not_run));
        fixture.answer(whole(200, "ok"));
        fixture.serve(fixture.call("/unsafe/"));
        cr_assert_eq(fixture.writer.status, 200);
        cr_assert_neq(fixture.upstream.engines.at(0), fixture.upstream.engines.at(1));
        cr_assert_eq(fixture.upstream.dispatches.at(1).fresh_connection, same_address);
    }
}

Test(relay_service, in_a_trial_a_share_of_first_dispatches_goes_to_the_canary) {
    relay_fixture fixture;
    fixture.begin_trial();
    for (int request = 0; request < 30; ++request) {
        fixture.answer(whole(200, "x"));
        fixture.serve(fixture.call("/unsafe/"));
    }
    const auto& engines = fixture.upstream.engines;
    cr_assert_eq(std::count(engines.begin(), engines.end(), "n1"), 2);
    const auto* own = fixture.releases.find(base::pool_name("p"));
    const auto& counts = own->counts.at(base::route_name("/unsafe/"));
    cr_assert_eq(counts.canary.answered, 2);
    cr_assert_eq(counts.current.answered, 28);
    cr_assert_eq(own->exposed, 2);
}

Test(relay_service, retries_and_resumed_streams_never_go_to_the_canary) {
    relay_fixture fixture;
    fixture.begin_trial();
    for (int request = 0; request < 60; ++request) {
        fixture.answer(whole(500, "x"));
        fixture.answer(whole(200, "x"));
        relay_call again = fixture.call("/resumable/");
        again.last_event_id = 3;
        fixture.serve(std::move(again));
    }
    const auto& engines = fixture.upstream.engines;
    cr_assert_eq(std::count(engines.begin(), engines.end(), "n1"), 0);
    for (int request = 0; request < 30; ++request) {
        fixture.upstream.answers.clear();
        fixture.upstream.engines.clear();
        fixture.answer(whole(500, "x"));
        fixture.answer(whole(200, "x"));
        fixture.serve(fixture.call("/safe/"));
        for (std::size_t retry = 1; retry < engines.size(); ++retry) {
            cr_assert(engines[retry] != "n1");
        }
    }
}

Test(relay_service, a_request_goes_to_the_current_version_if_no_canary_is_available) {
    relay_fixture fixture;
    fixture.begin_trial();
    fixture.registry.find(base::engine_name("n1"))->refuses_until =
        fixture.loop.scheduler.now() + 1h;
    for (int request = 0; request < 30; ++request) {
        fixture.answer(whole(200, "x"));
        fixture.serve(fixture.call("/unsafe/"));
    }
    cr_assert_eq(fixture.upstream.engines.size(), 30);
    const auto& engines = fixture.upstream.engines;
    cr_assert_eq(std::count(engines.begin(), engines.end(), "n1"), 0);
    cr_assert_eq(fixture.releases.find(base::pool_name("p"))->exposed, 0);
}

Test(relay_service, a_canary_that_shuts_down_while_a_connection_is_opened_is_not_counted) {
    relay_fixture fixture;
    fixture.begin_trial();
    const auto leave = [&fixture](const base::engine_name& chosen, const auto&, std::uint64_t) {
        if (chosen.value == "n1") {
            listed_engine one = fixture.registry.find(chosen)->listed;
            one.leaving = true;
            fixture.registry.put(one, fixture.loop.scheduler.now());
        }
    };
    relay_service<fake_upstream> told({fixture.loop.scheduler,
                                       fixture.upstream,
                                       fixture.registry,
                                       fixture.selection,
                                       fixture.policies,
                                       leave,
                                       {},
                                       &fixture.releases},
                                      relay_fixture::settings_of(),
                                      [](const relay_plan&, const relay_outcome&) {});
    for (int request = 0; request < 30; ++request) {
        fixture.answer(whole(200, "x"));
        serve_with(fixture, told, fixture.call("/unsafe/"));
        cr_assert_eq(fixture.writer.status, 200);
    }
    const auto& engines = fixture.upstream.engines;
    cr_assert_eq(std::count(engines.begin(), engines.end(), "n1"), 1);
    cr_assert_eq(engines.size(), 31);
    cr_assert_eq(fixture.releases.find(base::pool_name("p"))->exposed, 0);
}
