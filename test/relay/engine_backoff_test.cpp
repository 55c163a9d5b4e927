/// Tests that an engine that asked for a time without requests gets none, whichever way a request
/// may take to it, and what callers are told if all engines did.
#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;

namespace {

const base::engine_name e1("e1");
const base::engine_name e2("e2");

scripted_answer whole() {
    scripted_answer one;
    one.stream = false;
    one.body = {bytes("x"), body_end};
    return one;
}

void back_off(relay_fixture& fixture, const base::engine_name& name, base::duration backoff) {
    const base::monotonic_time now = fixture.loop.scheduler.now();
    fixture.registry.record_statement(name, {false, backoff}, now, now);
}

runtime::task<void> back_off_once_dispatched(relay_fixture& fixture) {
    co_await fixture.loop.until([&fixture] { return !fixture.upstream.dispatches.empty(); });
    back_off(fixture, base::engine_name(fixture.upstream.engines[0]), 10s);
}

}  // namespace

Test(engine_backoff, no_request_goes_to_the_engine_until_its_backoff_ends) {
    relay_fixture fixture;
    back_off(fixture, e1, 300ms);
    for (int round = 0; round < 8; ++round) {
        fixture.answer(whole());
        fixture.serve(fixture.call("/safe/"));
        cr_assert_str_eq(fixture.upstream.engines.back().c_str(), "e2");
    }
    back_off(fixture, e2, 10s);
    while (fixture.loop.scheduler.now() < fixture.registry.find(e1)->stated.backoff_until) {
        fixture.loop.context.restart();
        cr_assert(fixture.loop.run([&] { return fixture.loop.scheduler.sleep_for(10ms); }));
    }
    fixture.answer(whole());
    fixture.serve(fixture.call("/safe/"));
    cr_assert_str_eq(fixture.upstream.engines.back().c_str(), "e1");
}

Test(engine_backoff, a_request_that_waits_for_its_connection_is_not_sent) {
    relay_fixture fixture;
    scripted_answer slow = whole();
    slow.connecting = 20ms;
    fixture.answer(std::move(slow));
    fixture.loop.scheduler.spawn("backoff", back_off_once_dispatched(fixture));
    fixture.serve(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
    cr_assert(fixture.upstream.looks[0].lost == dispatch_precondition::no_backoff);
    cr_assert_neq(fixture.upstream.engines[0], fixture.upstream.engines[1]);
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.outcomes[0].dispatches, 1, "a dispatch that was not sent costs no retry");
}

Test(engine_backoff, callers_are_refused_at_once_and_told_when_the_first_engine_returns) {
    relay_fixture fixture;
    back_off(fixture, e1, 4s);
    back_off(fixture, e2, 2s);
    const base::monotonic_time began = fixture.loop.scheduler.now();
    fixture.serve(fixture.call("/safe/"));
    cr_assert_lt(base::to_milliseconds(fixture.loop.scheduler.now() - began), 100);
    cr_assert(fixture.upstream.dispatches.empty());
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.outcomes[0].refusal->cause == refusal_cause::engines_backing_off);
    const double seconds = std::stod(std::string(*fixture.writer.headers.find("Retry-After")));
    cr_assert_geq(seconds, 1.8);
    cr_assert_leq(seconds, 2.5);
}

Test(engine_backoff, callers_that_are_refused_together_return_at_different_times) {
    relay_fixture fixture;
    back_off(fixture, e1, 10s);
    back_off(fixture, e2, 10s);
    std::set<std::string> times;
    for (int round = 0; round < 20; ++round) {
        fixture.serve(fixture.call("/safe/"));
        times.emplace(*fixture.writer.headers.find("Retry-After"));
    }
    cr_assert_geq(times.size(), 10);
}

Test(engine_backoff, a_rejection_with_a_backoff_is_no_failure_of_the_engine) {
    relay_fixture fixture;
    back_off(fixture, e1, 10s);
    const known_engine& engine = *fixture.registry.find(e1);
    cr_assert_not(engine.health.suspended(fixture.loop.scheduler.now()));
    cr_assert_not(engine.is_leaving());
}
