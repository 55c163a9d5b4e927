/// Requests that crash engines are quarantined by the relay service, and others are not.
#include "ferryroad/relay/request_quarantine.hpp"

#include "test/relay/fake_upstream.hpp"

#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using core::execution::failure_kind;
using core::execution::failure_proof;

namespace {

/// A service with a quarantine. `engines_crash` says whether engines refuse connections after a
/// broken exchange.
struct quarantine_fixture : relay_fixture {
    static quarantine_settings settings_of_quarantine() {
        quarantine_settings settings;
        settings.gather_time = 1ms;
        settings.suspects.settle = 20ms;
        settings.suspects.initial_part_quarantine = part_quarantine;
        return settings;
    }

    /// Longer than `send` takes.
    static constexpr base::duration part_quarantine = 600ms;

    bool engines_crash = true;
    bool tries_parts = true;
    request_quarantine quarantine{
        loop.scheduler, [this](engine_target) -> runtime::task<bool> { co_return engines_crash; },
        settings_of_quarantine()};
    relay_service<fake_upstream> quarantining_service{
        {loop.scheduler, upstream, registry, selection, policies, {}, {}, nullptr, &quarantine},
        settings_of(),
        [this](const relay_plan&, const relay_outcome& told) { outcomes.push_back(told); }};

    quarantine_fixture() {
        quarantine.set_trial_check([this](const auto&) { return tries_parts; });
    }
    relay_call prompt_call(const std::string& part, const std::string& own) {
        relay_call one = call("/unsafe/");
        one.message.body = own;
        one.prompt = core::prefix::declared_prompt{"m", {{part, 10}, {own, 1}}, 11, 5};
        return one;
    }
    unsigned send_prompt(const std::string& part, const std::string& own) {
        return send(prompt_call(part, own));
    }
    /// Sends a request with the part, and another one before it ends.
    /// @return the status of the second one.
    unsigned status_beside_trial() {
        recorded_writer second(loop.scheduler);
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            relay_call trial = prompt_call("bad", "t1");
            loop.scheduler.spawn("trial", quarantining_service.handle(std::move(trial), writer));
            co_await loop.scheduler.sleep_for(20ms);
            relay_call other = prompt_call("bad", "t2");
            co_await quarantining_service.handle(std::move(other), second);
            co_await loop.until([&] { return writer.status == 200; });
        }));
        return second.status;
    }
    /// Different requests with the part crash engines.
    void crash_with_part(const std::string& part, int crashes) {
        for (int crash = 0; crash < crashes; ++crash) {
            script_break();
            cr_assert_eq(send_prompt(part, "own" + std::to_string(crash)), 502);
            restart_engines();
            loop.context.restart();
        }
    }
    /// @return the status, after so long that a further crash of the same engine counts as another.
    unsigned send(const std::string& path, const std::string& body) {
        relay_call one = call(path);
        one.message.body = body;
        return send(std::move(one));
    }
    unsigned send(relay_call one) {
        loop.context.restart();
        cr_assert(loop.run([&]() -> runtime::task<void> {
            co_await quarantining_service.handle(std::move(one), writer);
            co_await loop.scheduler.sleep_for(core::quarantine::crash_time_tolerance + 50ms);
        }));
        return writer.status;
    }
    void send_as_the_engine_leaves() {
        scripted_answer broken;
        broken.failure = failure(failure_kind::broken, failure_proof::unknown);
        broken.delay = 20ms;
        answer(std::move(broken));
        loop.scheduler.spawn("leave", leave_soon());
        send("/unsafe/", "in progress at the end");
        restart_engines();
    }
    void send_as_the_row_lapses() {
        script_break();
        loop.scheduler.spawn("lapse", lapse_registration_soon());
        send("/unsafe/", "lost answer");
    }
    runtime::task<void> lapse_registration_soon() {
        co_await loop.scheduler.sleep_for(5ms);
        registry.replace_all({}, loop.scheduler.now());
        registry.replace_all({listed("e1"), listed("e2")}, loop.scheduler.now());
    }
    void send_as_the_engine_restarts() {
        script_break();
        loop.scheduler.spawn("restart", restart_soon());
        send("/unsafe/", "in progress at the end");
    }
    runtime::task<void> restart_soon() {
        co_await loop.scheduler.sleep_for(5ms);
        restart_engines();
    }
    runtime::task<void> leave_soon() {
        co_await loop.scheduler.sleep_for(5ms);
        registry.replace_all({}, loop.scheduler.now());
    }
    void script_break() {
        scripted_answer broken;
        broken.failure = failure(failure_kind::broken, failure_proof::unknown);
        broken.delay = 15ms;
        answer(std::move(broken));
    }
    /// As on a pooled connection to an engine that has just terminated.
    void script_immediate_break() {
        scripted_answer broken;
        broken.failure = failure(failure_kind::broken, failure_proof::unknown);
        answer(std::move(broken));
    }
    void script_answer() {
        scripted_answer good;
        good.stream = false;
        good.body = {bytes("ok"), body_end};
        answer(std::move(good));
    }
    /// Registers both engines again, as new processes without recorded failures.
    void restart_engines() {
        registry.replace_all({}, loop.scheduler.now());
        listed_engine first = listed("e1");
        listed_engine second = listed("e2");
        first.process_start_ms = second.process_start_ms = ++starts;
        registry.replace_all({first, second}, loop.scheduler.now());
    }
    std::uint64_t starts = 0;
};

}  // namespace

Test(request_quarantine, two_crashes_quarantine_a_request_which_is_then_refused_as_not_run) {
    quarantine_fixture fixture;
    for (int crash = 0; crash < 2; ++crash) {
        fixture.script_break();
        cr_assert_eq(fixture.send("/unsafe/", "bad"), 502, "the request may have run");
        fixture.restart_engines();
        fixture.loop.context.restart();
    }
    const std::size_t sent = fixture.upstream.dispatches.size();
    cr_assert_eq(fixture.send("/unsafe/", "bad"), 503);
    cr_assert_eq(fixture.upstream.dispatches.size(), sent, "nothing was sent");
    cr_assert(fixture.writer.headers.find("Retry-After").has_value());
    fixture.script_answer();
    cr_assert_eq(fixture.send("/unsafe/", "another body"), 200);
}

Test(request_quarantine, a_prompt_part_is_quarantined_that_different_requests_crash_engines_with) {
    quarantine_fixture fixture;
    fixture.crash_with_part("bad", 3);
    const std::size_t sent = fixture.upstream.dispatches.size();
    cr_assert_eq(fixture.send_prompt("bad", "another"), 503);
    cr_assert_eq(fixture.upstream.dispatches.size(), sent, "nothing was sent");
    cr_assert(fixture.writer.headers.find("Retry-After").has_value());
    fixture.script_answer();
    cr_assert_eq(fixture.send_prompt("good", "another"), 200);
    cr_assert_eq(fixture.quarantine.quarantined_parts(), 1);
}

Test(request_quarantine, after_its_quarantine_one_request_at_a_time_tries_a_part) {
    quarantine_fixture fixture;
    fixture.crash_with_part("bad", 3);
    std::this_thread::sleep_for(fixture.part_quarantine);
    fixture.tries_parts = false;
    cr_assert_eq(fixture.send_prompt("bad", "at a router that does not try it"), 503);
    fixture.tries_parts = true;
    scripted_answer slow;
    slow.stream = false;
    slow.delay = 100ms;
    slow.body = {bytes("ok"), body_end};
    fixture.answer(std::move(slow));
    const std::size_t sent = fixture.upstream.dispatches.size();
    cr_assert_eq(fixture.status_beside_trial(), 503, "one is being tried");
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.upstream.dispatches.size(), sent + 1);
    cr_assert_eq(fixture.quarantine.quarantined_parts(), 0, "the trial went well");
}

Test(request_quarantine, a_repeatable_request_is_not_retried_after_its_second_crash) {
    quarantine_fixture fixture;
    fixture.script_break();
    fixture.script_break();
    cr_assert_eq(fixture.send("/safe/", "bad"), 502);
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
    fixture.restart_engines();
    cr_assert_eq(fixture.send("/safe/", "bad"), 503);
    cr_assert_eq(fixture.upstream.dispatches.size(), 2);
}

Test(request_quarantine, a_suspect_whose_exchange_breaks_again_is_not_retried) {
    quarantine_fixture fixture;
    fixture.script_break();
    fixture.script_answer();
    cr_assert_eq(fixture.send("/safe/", "lucky"), 200, "a first break is retried");
    fixture.script_break();
    fixture.send("/unsafe/", "bad");
    fixture.restart_engines();
    fixture.script_break();
    fixture.script_answer();
    fixture.send("/unsafe/", "bad");
    cr_assert_eq(fixture.upstream.dispatches.size(), 4);
}

Test(request_quarantine, broken_exchanges_without_a_crash_do_not_quarantine) {
    quarantine_fixture fixture;
    fixture.engines_crash = false;
    for (int repeat = 0; repeat < 5; ++repeat) {
        fixture.script_break();
        cr_assert_eq(fixture.send("/unsafe/", "lost answers"), 502);
        fixture.restart_engines();
    }
    cr_assert_eq(fixture.quarantine.counters().crashes_seen, 0);
}

Test(request_quarantine, breaks_too_soon_for_the_request_to_have_run_do_not_quarantine) {
    quarantine_fixture fixture;
    for (int repeat = 0; repeat < 3; ++repeat) {
        fixture.script_immediate_break();
        cr_assert_eq(fixture.send("/unsafe/", "late"), 502);
        fixture.restart_engines();
    }
    cr_assert_eq(fixture.quarantine.counters().crashes_seen, 3);
    fixture.script_answer();
    cr_assert_eq(fixture.send("/unsafe/", "late"), 200);
}

Test(request_quarantine, an_engine_that_shuts_down_is_not_a_crash) {
    quarantine_fixture fixture;
    for (int repeat = 0; repeat < 4; ++repeat) {
        fixture.send_as_the_engine_leaves();
    }
    cr_assert_eq(fixture.quarantine.counters().crashes_seen, 0);
}

Test(request_quarantine, a_registration_that_lapses_and_is_renewed_is_not_a_crash) {
    quarantine_fixture fixture;
    fixture.engines_crash = false;
    for (int repeat = 0; repeat < 4; ++repeat) {
        fixture.send_as_the_row_lapses();
    }
    cr_assert_eq(fixture.quarantine.counters().crashes_seen, 0);
    cr_assert_eq(fixture.quarantine.counters().breaks_unconfirmed, 4);
}

Test(request_quarantine, an_engine_that_restarts_under_its_name_has_crashed) {
    quarantine_fixture fixture;
    fixture.engines_crash = false;  // The address accepts connections again.
    fixture.restart_engines();
    fixture.send_as_the_engine_restarts();
    cr_assert_eq(fixture.quarantine.counters().crashes_seen, 1);
}
