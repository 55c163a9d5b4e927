/// Requests to engines that limit their rejections need a slot, which another router grants.
#include "ferryroad/relay/engine_slots.hpp"

#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using core::execution::failure_kind;
using core::execution::failure_proof;

namespace {

const base::pool_name pool("p");
const base::engine_name e1("e1");
const base::router_name home("home");

quotas::slot_decision granted() {
    return {{true, {}, 1, true, false, 8}, home};
}
quotas::slot_decision refused() {
    return {{false, 1s, 1, true, false, 8}, home};
}
quotas::slot_decision undecided() {
    return {{false, {}, 1, false, false, 8}, home};
}
/// The last verdict on a queued request that got no slot in time.
quotas::slot_decision queued_in_vain() {
    return {{false, {}, 1, true, true, 8}, home};
}

struct slot_call {
    base::engine_name engine;
    quotas::slot_use use;
    base::duration wait;
};

/// A relay service whose engines limit their rejections and whose home gives scripted decisions.
struct slot_fixture : relay_fixture {
    std::vector<slot_call> asked;
    std::vector<slot_call> reported;
    bool home_answers = true;                                    ///< Reports.
    base::duration answer_time = 1ms;                            ///< Of the home.
    std::deque<std::optional<quotas::slot_decision>> decisions;  ///< Granted once there are none.
    engine_slots slots{
        loop.scheduler,
        registry,
        base::router_name("r1"),
        {[this](base::engine_name engine, quotas::slot_use use, base::duration wait) {
             return decide(std::move(engine), use, wait);
         },
         [this](base::engine_name engine, quotas::slot_use use) {
             return report(std::move(engine), use);
         }}};
    relay_service<fake_upstream> slot_service;

    explicit slot_fixture(const relay_settings& settings = slot_settings_of())
        : slot_service{{loop.scheduler,
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
                        nullptr,
                        &slots},
                       settings,
                       [this](const relay_plan&, const relay_outcome& outcome) {
                           outcomes.push_back(outcome);
                       }} {
        registry.record_rejection_limit(pool, 5);
    }

    static relay_settings slot_settings_of() {
        relay_settings settings = settings_of();
        settings.driver.room_wait_share = 2;
        settings.driver.room_check_interval = 2ms;
        settings.driver.longest_share_without_wait = 1;
        return settings;
    }
    /// Requests have 6 s for a slot; 6 ms of them are for asks that don't wait.
    static relay_settings settings_with_much_time() {
        relay_settings settings = slot_settings_of();
        settings.driver.room_wait_share = 100;
        settings.driver.longest_share_without_wait = 0.001;
        return settings;
    }
    runtime::task<std::optional<quotas::slot_decision>> decide(base::engine_name engine,
                                                               quotas::slot_use use,
                                                               base::duration wait) {
        asked.push_back({std::move(engine), use, wait});
        co_await loop.scheduler.sleep_for(answer_time);
        std::optional<quotas::slot_decision> decision = granted();
        if (!decisions.empty()) {
            decision = decisions.front();
            decisions.pop_front();
        }
        if (decision && decision->verdict.queued) {
            co_await loop.scheduler.sleep_for(wait);
        }
        co_return decision;
    }
    runtime::task<bool> report(base::engine_name engine, quotas::slot_use use) {
        reported.push_back({std::move(engine), use, {}});
        co_return home_answers;
    }
    known_engine& engine(const base::engine_name& name) { return *registry.find(name); }
    void serve_with_slots() {
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            relay_call one = call("/unsafe/");
            co_await slot_service.handle(std::move(one), writer);
        });
        cr_assert(ended);
    }
    bool acquire() {
        slot_permit permit;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            base::engine_name asked_for = e1;
            permit = co_await slots.acquire(std::move(asked_for), 0ms);
        });
        cr_assert(ended);
        return permit.granted;
    }
    void answer_whole() {
        scripted_answer one;
        one.stream = false;
        one.body = {bytes("ok"), body_end};
        answer(one);
    }
};

}  // namespace

Test(engine_slots, engines_that_bear_any_rejections_need_no_slot) {
    slot_fixture fixture;
    fixture.registry.record_rejection_limit(pool, std::nullopt);
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert(fixture.asked.empty() && fixture.reported.empty());
}

Test(engine_slots, a_request_that_one_engine_has_no_slot_for_goes_to_another) {
    slot_fixture fixture;
    fixture.decisions = {refused()};
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.asked.size(), 2);
    cr_assert_neq(fixture.asked[0].engine, fixture.asked[1].engine);
    cr_assert_eq(fixture.upstream.engines[0], fixture.asked[1].engine.value);
}

Test(engine_slots, a_slot_is_reported_free_when_its_request_ends) {
    slot_fixture fixture;
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.reported.size(), 1);
    cr_assert_eq(fixture.reported[0].engine, fixture.asked[0].engine);
    cr_assert_eq(fixture.reported[0].use.running, 0);
}

Test(engine_slots, the_first_engines_are_not_waited_for) {
    slot_fixture fixture;
    const quotas::slot_decision refused_briefly{{false, 1ms, 1, true, false, 8}, home};
    fixture.decisions = {refused_briefly, refused_briefly, refused_briefly, queued_in_vain()};
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.outcomes.back().refusal->cause == refusal_cause::engines_limited);
    cr_assert_eq(fixture.asked.size(), 4);
    cr_assert_eq(fixture.asked[2].wait.count(), 0);
    cr_assert_gt(fixture.asked[3].wait.count(), 0);
    cr_assert_eq(fixture.reported.size(), 1, "the slot may have been granted too late");
}

/// Asks to routers of other regions used up the time, and slots that became free found nobody.
Test(engine_slots, where_answers_take_long_a_request_waits_for_a_slot_sooner) {
    slot_fixture fixture(slot_fixture::settings_with_much_time());
    fixture.answer_time = 10ms;
    fixture.decisions = {refused()};
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.asked.size(), 2);
    cr_assert_gt(fixture.asked[1].wait.count(), 0);
}

Test(engine_slots, an_engine_that_refused_is_not_asked_before_its_time) {
    slot_fixture fixture;
    fixture.decisions = {refused(), refused()};
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert_eq(fixture.asked.size(), 2);
}

Test(engine_slots, asks_that_wait_for_an_answer_are_reported) {
    slot_fixture fixture;
    fixture.engine(e1).running = 2;
    fixture.engine(e1).slot_asks = {40};
    cr_assert(fixture.acquire());
    cr_assert(fixture.acquire());
    cr_assert_eq(fixture.asked[0].use.running, 2);
    cr_assert(fixture.asked[0].use.pending == std::vector<std::uint64_t>{40});
    cr_assert(fixture.asked[1].use.pending == std::vector<std::uint64_t>{40});
    cr_assert_gt(fixture.asked[1].use.number, fixture.asked[0].use.number);
    cr_assert_eq(fixture.asked[1].use.asker_process, fixture.asked[0].use.asker_process);
    cr_assert(fixture.engine(e1).slot_asks == std::vector<std::uint64_t>{40});
}

Test(engine_slots, without_a_decision_the_own_share_decides) {
    slot_fixture fixture;
    fixture.slots.set_routers({base::router_name("r1"), base::router_name("r2")});
    fixture.decisions = {undecided(), undecided()};
    fixture.engine(e1).running = 3;
    cr_assert(fixture.acquire());
    fixture.engine(e1).running = 4;
    cr_assert_not(fixture.acquire(), "half of eight slots are in use");
    cr_assert_eq(fixture.slots.counters().own_share, 2);
}

Test(engine_slots, without_an_answer_nothing_is_sent) {
    slot_fixture fixture;
    fixture.decisions = {std::nullopt};
    cr_assert_not(fixture.acquire());
    cr_assert(fixture.engine(e1).full_until > fixture.loop.scheduler.now());
}

Test(engine_slots, an_engine_that_rejected_gets_no_requests_for_a_while) {
    slot_fixture fixture;
    for (const char* name : {"e1", "e2"}) {
        fixture.engine(base::engine_name(name)).refuses_until = fixture.loop.scheduler.now() + 1h;
    }
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.asked.empty());
    cr_assert(fixture.registry.record_rejection_limit(pool, std::nullopt));
    cr_assert_not(fixture.registry.record_rejection_limit(pool, std::nullopt), "no change");
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 200, "engines that bear any rejections are tried");
}

Test(engine_slots, an_engine_that_rejected_another_router_gets_no_requests_for_a_while) {
    slot_fixture fixture;
    fixture.loads.state(base::router_name("r2"),
                        {{e1, 0, 0, 1h}, {base::engine_name("e2"), 0, 0, 1h}},
                        fixture.loop.scheduler.now());
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 503);
    cr_assert(fixture.asked.empty());
}

Test(engine_slots, a_rejection_is_reported_until_the_home_answers) {
    slot_fixture fixture;
    scripted_answer rejection;
    rejection.failure = failure(failure_kind::overloaded, failure_proof::not_run);
    fixture.answer(rejection);
    fixture.answer_whole();
    fixture.serve_with_slots();
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.slots.counters().rejections, 1);
    cr_assert_eq(fixture.reported[0].use.rejected, 1);
    cr_assert_eq(fixture.engine(fixture.reported[0].engine).unreported_rejections, 0);
    fixture.slots.rejected(fixture.engine(e1));
    fixture.decisions = {std::nullopt};
    fixture.home_answers = false;
    fixture.acquire();
    cr_assert_eq(fixture.engine(e1).unreported_rejections, 1);
}
