/// What becomes of requests that wait, or run, as they are quarantined: each is taken back where it
/// has not begun, told truthfully, and sent to no other engine; what has begun goes on.
#include "ferryroad/relay/request_quarantine.hpp"
#include "test/relay/fake_upstream.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using core::quarantine::crash_candidate;
using core::quarantine::engine_crash;
using core::quarantine::request_identity;

namespace {

/// Engines answer as scripted; requests are quarantined by what another router tells.
struct withdrawal_fixture : relay_fixture {
    std::vector<engine_crash> told;  ///< By this router.
    bool engines_end = false;
    request_quarantine quarantine{
        loop.scheduler,
        [this](base::endpoint) -> runtime::task<bool> { co_return engines_end; },
        {}};
    relay_service<fake_upstream> holding{
        {loop.scheduler, upstream, registry, selection, policies, {}, {}, nullptr, &quarantine},
        settings_of(),
        [this](const relay_plan& plan, const relay_outcome& outcome) {
            outcomes.push_back(outcome);
            identities.push_back(plan.identity);
        }};
    std::vector<request_identity> identities;
    std::vector<std::unique_ptr<recorded_writer>> writers;

    withdrawal_fixture() {
        core::traffic::declaration patient = declared(2);
        for (core::traffic::route& one : patient.routes) {
            one.timeout = 20s;
            one.target_latency = 10s;
        }
        policies.offer(std::move(patient));
        policies.confirm(loop.scheduler.now());
        quarantine.on_news({[this](const engine_crash& crash) { told.push_back(crash); }, {}});
    }
    relay_call bad(const std::string& path) const {
        relay_call one = call(path);
        one.message.body = "bad";
        return one;
    }
    /// Callers leave, so that nothing outlives what it uses.
    ~withdrawal_fixture() {
        for (const auto& one : writers) {
            one->closed = true;
        }
        run_until([&] { return holding.active() == 0; });
    }
    /// @return what a request is known by. Its first one gets no answer.
    request_identity identity_of(relay_call one) {
        one.time_left = 30ms;
        keep_waiting();
        loop.context.restart();
        cr_assert(loop.run([&] { return holding.handle(std::move(one), writer); }));
        upstream.dispatches.clear();
        outcomes.clear();
        return identities.back();
    }
    /// Starts a request that goes on beside the test.
    recorded_writer& send(relay_call one) {
        one.arrived = loop.scheduler.now();
        writers.push_back(std::make_unique<recorded_writer>(loop.scheduler));
        loop.scheduler.spawn("request", holding.handle(std::move(one), *writers.back()));
        return *writers.back();
    }
    /// Another router tells of engines that ended with the request in progress.
    void tell_crashes(const request_identity& request, std::size_t count = 3) {
        const base::monotonic_time now = loop.scheduler.now();
        for (std::size_t number = 0; number < count; ++number) {
            const base::engine_name name("e" + std::to_string(7 + number));
            quarantine.learn({name, now, now, {{request, true}}, 0}, "r2");
        }
    }
    void run(base::duration span) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.scheduler.sleep_for(span); }));
    }
    void run_until(const std::function<bool()>& condition) {
        loop.context.restart();
        cr_assert(loop.run([&] { return loop.until(condition); }));
    }
    /// An engine keeps what comes to it waiting for longer than any test lasts.
    void keep_waiting() { answer({.delay = 15s}); }

    /// The service tells of a request's end after its caller has the answer.
    bool ended_with_answer(const recorded_writer& got) const {
        return got.final_answers == 1 && !outcomes.empty();
    }

    /// Sends a request that waits at an engine, and has it quarantined.
    recorded_writer& quarantine_while_waiting(const std::string& path) {
        const auto request = identity_of(bad(path));
        keep_waiting();
        recorded_writer& got = send(bad(path));
        run_until([&] { return upstream.looks.size() == 2; });
        tell_crashes(request);
        run_until([&] { return ended_with_answer(got); });
        return got;
    }
};

bool says(const recorded_writer& got, std::string_view what) {
    return got.body.find(what) != std::string::npos;
}

}  // namespace

Test(quarantine_withdrawal, the_caller_is_told_at_once_and_truthfully) {
    for (const char* path : {"/unsafe/", "/safe/", "/stream/", "/resumable/"}) {
        withdrawal_fixture at;
        const recorded_writer& got = at.quarantine_while_waiting(path);
        cr_assert_eq(got.status, 502, "%s may have run", path);
        cr_assert(says(got, "quarantined"));
        cr_assert(says(got, "unknown"));
        cr_assert_not(got.headers.find("Retry-After").has_value());
        cr_assert_eq(at.upstream.dispatches.size(), 1, "and is sent to no other");
        cr_assert_eq(at.outcomes.back().withdrawals, 1);
        cr_assert(at.outcomes.back().quarantined_waiting);
    }
}

Test(quarantine_withdrawal, what_was_not_sent_yet_has_not_run) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/unsafe/"));
    at.answer({.connecting = 15s});
    const recorded_writer& got = at.send(at.bad("/unsafe/"));
    at.run_until([&] { return at.upstream.dispatches.size() == 1; });
    at.tell_crashes(request);
    at.run_until([&] { return at.ended_with_answer(got); });
    cr_assert_eq(got.status, 503);
    cr_assert(says(got, "quarantined"));
    cr_assert(says(got, "not-run"));
    cr_assert(got.headers.find("Retry-After").has_value());
    cr_assert_eq(at.outcomes.back().dispatches, 0);
}

Test(quarantine_withdrawal, a_stream_whose_head_came_waits_until_its_first_event) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/stream/"));
    at.answer({.body = {body_silence}});
    const recorded_writer& got = at.send(at.bad("/stream/"));
    at.run_until([&] { return *at.upstream.open_bodies == 1; });
    at.tell_crashes(request);
    at.run_until([&] { return at.ended_with_answer(got); });
    cr_assert_eq(got.status, 502);
    cr_assert_eq(*at.upstream.open_bodies, 0, "the connection is closed");
}

Test(quarantine_withdrawal, what_has_begun_goes_on) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/stream/"));
    std::vector<body_step> steps(200, bytes(""));
    steps.front() = bytes(event(1));
    steps.push_back(bytes(event(2)));
    at.answer({.body = std::move(steps)});
    const recorded_writer& got = at.send(at.bad("/stream/"));
    at.run_until([&] { return got.streams == 1; });
    at.tell_crashes(request);
    at.run_until([&] { return at.ended_with_answer(got); });
    cr_assert_eq(got.status, 200);
    cr_assert(got.body == event(1) + event(2));
    cr_assert_not(got.aborted);
}

Test(quarantine_withdrawal, repeats_are_taken_back_wherever_they_wait_and_others_stay) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/unsafe/"));
    for (int repeat = 0; repeat < 4; ++repeat) {
        at.keep_waiting();
        at.send(at.bad("/unsafe/"));
    }
    at.keep_waiting();
    const recorded_writer& other = at.send(at.call("/unsafe/"));
    at.run_until([&] { return at.upstream.looks.size() == 6; });
    at.tell_crashes(request);
    at.run_until([&] { return at.outcomes.size() == 4; });
    at.run(50ms);
    cr_assert_eq(at.outcomes.size(), 4);
    cr_assert_eq(other.final_answers, 0);
}

/// Two crashes convict alone only once the reports of all routers have had time to come: no request
/// comes meanwhile that would have the suspects looked at.
Test(quarantine_withdrawal, a_verdict_that_comes_with_time_wakes_what_waits) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/unsafe/"));
    at.keep_waiting();
    const recorded_writer& got = at.send(at.bad("/unsafe/"));
    at.run_until([&] { return at.upstream.looks.size() == 2; });
    at.tell_crashes(request, 2);
    at.run_until([&] { return at.ended_with_answer(got); });
    cr_assert_eq(got.status, 502);
}

/// One crash makes a suspect of each request that was in progress; most of them did nothing.
Test(quarantine_withdrawal, a_suspect_stays) {
    withdrawal_fixture at;
    const auto request = at.identity_of(at.bad("/unsafe/"));
    at.keep_waiting();
    const recorded_writer& got = at.send(at.bad("/unsafe/"));
    at.run_until([&] { return at.upstream.looks.size() == 2; });
    at.tell_crashes(request, 1);
    at.run(300ms);
    cr_assert_eq(got.final_answers, 0);
}

/// The engine had begun, or goes on with what waited: it ends, and those beside it did nothing.
Test(quarantine_withdrawal, an_engine_that_ends_after_the_withdrawal_is_charged_to_it) {
    withdrawal_fixture at;
    at.quarantine_while_waiting("/unsafe/");
    const auto bad = at.identities.back();
    core::quarantine::request_content content;
    content.body = "innocent";
    const request_identity innocent = core::quarantine::identity_of(content);
    const base::monotonic_time now = at.loop.scheduler.now();
    for (const char* name : {"e1", "e2"}) {
        at.quarantine.learn({base::engine_name(name), now, now, {{innocent, true}}, 0}, "r2");
    }
    cr_assert_eq(at.told.size(), 1, "the others learn that it was there");
    const std::vector<crash_candidate> both{{innocent, true}, {bad, true}};
    cr_assert(at.told.front().candidates == both);
}
