/// Tests that a stream goes on only at engines of the software version that began it, within one
/// answer and when its caller resumes it.
#include "test/relay/fake_network.hpp"
#include "test/relay/fake_table.hpp"
#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using coordination::release::software_version;
using core::execution::failure_kind;
using core::execution::failure_proof;

namespace {

listed_engine engine_of(const char* name, const char* software) {
    listed_engine one = relay_fixture::listed(name);
    one.software.value = software;
    return one;
}

scripted_answer stream(std::vector<body_step> steps) {
    scripted_answer one;
    one.body = std::move(steps);
    return one;
}

scripted_answer refuses() {
    scripted_answer one;
    one.failure = failure(failure_kind::overloaded, failure_proof::not_run);
    return one;
}

/// A relay service that knows where streams began.
struct fixture : relay_fixture {
    fake_network network;
    fake_transport transport{network, {"10.0.0.1", 1}};
    peer_address self{base::router_name("r1"), base::zone_name("z"), {"10.0.0.1", 1}};
    fake_table table{loop.scheduler};
    owner_clock clock;
    stream_origins origins{
        loop.scheduler, transport, registry, self, {}, short_times(), origin_store{table, clock}};
    relay_service<fake_upstream> knowing{
        {loop.scheduler,
         upstream,
         registry,
         selection,
         policies,
         {},
         {},
         &releases,
         nullptr,
         nullptr,
         nullptr,
         nullptr,
         &origins},
        settings_of(),
        [this](const relay_plan&, const relay_outcome& outcome) { outcomes.push_back(outcome); }};

    fixture() {
        clock.observe(loop.scheduler.now(), loop.scheduler.now(), 500s);
        list({engine_of("e1", "v1"), engine_of("e2", "v1"), engine_of("e3", "v2"),
              engine_of("e4", "v2")});
    }

    static stream_origin_settings short_times() {
        stream_origin_settings all;
        all.stored.store_timeout = 60ms;
        all.stored.read_timeout = 60ms;
        return all;
    }
    void list(const std::vector<listed_engine>& engines) {
        registry.replace_all(engines, loop.scheduler.now());
        releases.engines_changed(loop.scheduler.now());
        releases.confirmed(loop.scheduler.now());
        origins.engines_changed();
    }
    void serve_knowing(relay_call one) {
        loop.context.restart();
        cr_assert(loop.run(
            [&]() -> runtime::task<void> { co_await knowing.handle(std::move(one), writer); }));
    }
    std::string software_of(std::size_t dispatch) {
        return registry.find(base::engine_name(upstream.engines[dispatch]))->listed.software.value;
    }
    relay_call resumed(const char* attempt, const char* path = "/resumable/") const {
        relay_call one = call(path);
        one.id.value = "r2";
        one.resumed_attempt = base::request_id(attempt);
        one.last_event_id = 1;
        return one;
    }
};

/// Notes the number of stored rows as the caller receives the first event.
runtime::task<void> count_rows_at_first_event(fixture& one, std::optional<std::size_t>& rows) {
    co_await one.loop.until([&one] { return !one.writer.body.empty(); });
    rows = one.table.count("origins/");
}

runtime::task<void> restart_with_v2(fixture& one) {
    co_await one.loop.until([&one] { return !one.writer.body.empty(); });
    one.list({engine_of("e1", "v2")});
}

}  // namespace

Test(stream_continuation, a_broken_stream_goes_on_at_its_version_within_the_answer) {
    for (int round = 0; round < 8; ++round) {
        fixture one;
        one.answer(stream({bytes(event(1)), body_broken}));
        one.answer(stream({bytes(event(2)), body_end}));
        relay_call call = one.call("/resumable/");
        call.id.value = "r" + std::to_string(round);
        one.serve_knowing(std::move(call));
        cr_assert_eq(one.upstream.engines.size(), 2);
        cr_assert(one.software_of(0) == one.software_of(1));
        cr_assert_eq(one.outcomes[0].continued, 1);
        cr_assert_not(one.outcomes[0].mixed_software);
    }
}

Test(stream_continuation, a_stream_that_its_caller_resumes_goes_on_at_its_version) {
    for (const char* version : {"v1", "v2"}) {
        fixture one;
        one.origins.record(base::request_id("first"), base::pool_name("p"),
                           software_version(version));
        one.answer(stream({bytes(event(2)), body_end}));
        one.serve_knowing(one.resumed("first"));
        cr_assert(one.software_of(0) == version);
        cr_assert_eq(one.writer.status, 200);
    }
}

// The route stopped being resumable after the stream had begun.
Test(stream_continuation,
     a_stream_whose_route_may_no_longer_be_resumed_is_not_joined_with_another) {
    for (const char* version : {"v1", "v2"}) {
        fixture one;
        one.origins.record(base::request_id("first"), base::pool_name("p"),
                           software_version(version));
        one.answer(stream({bytes(event(2)), body_end}));
        one.serve_knowing(one.resumed("first", "/stream/"));
        cr_assert(one.software_of(0) == version);
        cr_assert_eq(one.writer.status, 200);
    }
    fixture unknown;
    unknown.serve_knowing(unknown.resumed("never seen", "/stream/"));
    cr_assert(unknown.upstream.engines.empty());
    cr_assert_eq(unknown.writer.status, 503);
}

Test(stream_continuation, a_stream_of_unknown_version_is_refused_as_not_run) {
    fixture one;
    one.serve_knowing(one.resumed("never seen"));
    cr_assert(one.upstream.engines.empty());
    cr_assert_eq(one.writer.status, 503);
    cr_assert(one.writer.headers.find("Retry-After"));
    cr_assert(one.outcomes[0].refusal->cause == refusal_cause::origin_unknown);
}

Test(stream_continuation, a_stream_whose_version_is_gone_is_refused_at_once) {
    fixture one;
    one.origins.record(base::request_id("first"), base::pool_name("p"), software_version("v0"));
    const base::monotonic_time began = one.loop.scheduler.now();
    one.serve_knowing(one.resumed("first"));
    cr_assert(one.upstream.engines.empty());
    cr_assert_eq(one.writer.status, 503);
    cr_assert(one.outcomes[0].refusal->cause == refusal_cause::version_gone);
    cr_assert_lt(base::to_milliseconds(one.loop.scheduler.now() - began), 100);
}

Test(stream_continuation, the_last_engine_of_a_version_is_asked_again_after_a_break) {
    fixture one;
    one.list({engine_of("e1", "v1"), engine_of("e2", "v2"), engine_of("e3", "v2")});
    one.origins.record(base::request_id("first"), base::pool_name("p"), software_version("v1"));
    one.answer(stream({bytes(event(2)), body_broken}));
    one.answer(stream({bytes(event(3)), body_end}));
    one.serve_knowing(one.resumed("first"));
    cr_assert_eq(one.upstream.engines.size(), 2);
    cr_assert_str_eq(one.upstream.engines[0].c_str(), "e1");
    cr_assert_str_eq(one.upstream.engines[1].c_str(), "e1");
    cr_assert(one.writer.body == event(2) + event(3));
}

// On a connection that carried the request before, a second refusal to that could be taken for the
// answer to this one, as both name the same request.
Test(stream_continuation, an_engine_that_refused_is_asked_again_on_a_new_connection) {
    fixture one;
    one.list({engine_of("e1", "v1"), engine_of("e2", "v2"), engine_of("e3", "v2")});
    one.origins.record(base::request_id("first"), base::pool_name("p"), software_version("v1"));
    one.answer(refuses());
    one.answer(stream({bytes(event(2)), body_end}));
    one.serve_knowing(one.resumed("first"));
    cr_assert_eq(one.upstream.engines.size(), 2);
    cr_assert_str_eq(one.upstream.engines[0].c_str(), "e1");
    cr_assert_str_eq(one.upstream.engines[1].c_str(), "e1");
    cr_assert_not(one.upstream.dispatches[0].fresh_connection);
    cr_assert(one.upstream.dispatches[1].fresh_connection);
    cr_assert(one.writer.body == event(2));
}

Test(stream_continuation, an_engine_that_restarted_with_other_software_does_not_go_on) {
    fixture one;
    one.list({engine_of("e1", "v1")});
    one.answer(stream({bytes(event(1)), body_broken}));
    one.answer(stream({bytes(event(2)), body_end}));
    one.upstream.answers.front().body = {bytes(event(1)), body_silence};
    one.loop.scheduler.spawn("restart", restart_with_v2(one));
    one.serve_knowing(one.call("/resumable/"));
    cr_assert_eq(one.upstream.dispatches.size(), 1);
    cr_assert(one.writer.aborted);
}

// While a version is on trial, only requests selected for it may begin there.
Test(stream_continuation, a_stream_that_began_at_a_version_on_trial_goes_on_there) {
    fixture one;
    one.list({engine_of("e1", ""), engine_of("e2", "")});
    one.begin_trial();
    one.origins.engines_changed();
    one.origins.record(base::request_id("first"), base::pool_name("p"), software_version("v2"));
    one.answer(stream({bytes(event(2)), body_end}));
    one.serve_knowing(one.resumed("first"));
    cr_assert_eq(one.upstream.engines.size(), 1);
    cr_assert_str_eq(one.upstream.engines[0].c_str(), "n1");
    cr_assert_eq(one.writer.status, 200);
}

Test(stream_continuation, streams_begin_only_at_recorded_versions) {
    fixture one;
    one.table.put("versions/p", R"({"versions": ["v2"]})");
    one.origins.start();
    one.loop.context.restart();
    cr_assert(one.loop.run([&] { return one.loop.scheduler.sleep_for(20ms); }));
    for (int round = 0; round < 8; ++round) {
        one.answer(stream({bytes(event(1)), body_end}));
        relay_call call = one.call("/resumable/");
        call.id.value = "r" + std::to_string(round);
        one.serve_knowing(std::move(call));
        cr_assert(one.software_of(static_cast<std::size_t>(round)) == "v2");
    }
}

Test(stream_continuation, plain_requests_go_to_any_version) {
    fixture one;
    scripted_answer whole;
    whole.stream = false;
    whole.body = {bytes("x"), body_end};
    for (int round = 0; round < 3; ++round) {
        one.answer(whole);
        one.serve_knowing(one.call("/safe/"));
        cr_assert_eq(one.writer.status, 200);
    }
    cr_assert_eq(one.origins.kept(), 0);
}

Test(stream_continuation, the_origin_is_stored_before_the_first_event_is_passed_on) {
    fixture one;
    one.table.delay = 20ms;
    one.answer(stream({bytes(event(1)), bytes(event(2)), bytes(event(3)), body_end}));
    std::optional<std::size_t> rows;
    one.loop.scheduler.spawn("count", count_rows_at_first_event(one, rows));
    one.serve_knowing(one.call("/resumable/"));
    cr_assert_eq(*rows, 1);
    cr_assert(one.writer.body == event(1) + event(2) + event(3));
    cr_assert_eq(one.outcomes[0].events, 3);
}

Test(stream_continuation,
     a_table_that_does_not_respond_holds_back_the_first_event_for_a_limited_time) {
    fixture one;
    one.table.delay = 1h;
    one.answer(stream({bytes(event(1)), bytes(event(2)), body_end}));
    const base::monotonic_time began = one.loop.scheduler.now();
    one.serve_knowing(one.call("/resumable/"));
    cr_assert_geq(one.loop.scheduler.now() - began, 60ms);
    cr_assert_eq(one.writer.status, 200);
    cr_assert(one.writer.body == event(1) + event(2));
    cr_assert_eq(one.origins.stored()->counters().timeouts, 1);
}
