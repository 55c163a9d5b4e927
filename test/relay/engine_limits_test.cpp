/// Request limits that engines state: how they are learned, and how they hold requests back.
#include "ferryroad/relay/engine_limits.hpp"

#include "test/relay/fake_upstream.hpp"

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace ferryroad::relay::test;
using namespace std::chrono_literals;
using core::execution::failure_kind;
using core::execution::failure_proof;

namespace {

const base::engine_name e1("e1");
const base::engine_name e2("e2");
const base::router_name home("home");

/// What a router asked for one request to an engine.
struct counted_request {
    base::engine_name engine;
    quotas::rate_limit limit;
    quotas::limit_evidence evidence;
};

/// A relay service with limits, whose counting router gives scripted verdicts.
struct limited_fixture : relay_fixture {
    std::vector<counted_request> asked;
    std::deque<quotas::quota_decision> decisions;  ///< Granted by `home` once there are no more.
    std::function<void()> during_ask;
    std::vector<peer::stated_engine_limit> announced;
    engine_limits limits{
        loop.scheduler, registry,
        [this](base::engine_name engine, quotas::rate_limit limit,
               quotas::limit_evidence evidence) {
            return count(std::move(engine), limit, evidence);
        },
        [this](const peer::stated_engine_limit& one) { announced.push_back(one); }};
    relay_service<fake_upstream> limited_service{
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
         &limits},
        settings_of(),
        [this](const relay_plan&, const relay_outcome& outcome) { outcomes.push_back(outcome); }};

    runtime::task<quotas::quota_decision> count(base::engine_name engine, quotas::rate_limit limit,
                                                quotas::limit_evidence evidence) {
        asked.push_back({std::move(engine), limit, evidence});
        co_await loop.scheduler.sleep_for(1ms);
        if (during_ask) {
            during_ask();
        }
        quotas::quota_decision decision{{true, {}, 1}, home};
        if (!decisions.empty()) {
            decision = decisions.front();
            decisions.pop_front();
        }
        co_return decision;
    }
    known_engine& engine(const base::engine_name& name) { return *registry.find(name); }
    void limit(const base::engine_name& name, std::optional<double> per_second) {
        limits.record_answer(engine(name), {per_second});
    }
    void serve_limited(relay_call one) {
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            co_await limited_service.handle(std::move(one), writer);
        });
        cr_assert(ended);
    }
    bool acquire(const base::engine_name& name) {
        send_permit permit;
        loop.context.restart();
        const bool ended = loop.run([&]() -> runtime::task<void> {
            base::engine_name asked_for = name;
            base::request_id id("r1");
            permit = co_await limits.acquire(std::move(asked_for), std::move(id));
        });
        cr_assert(ended);
        return permit.granted;
    }
};

const quotas::quota_decision refused_by_home{{false, 700ms, 1}, home};

runtime::task<void> limit_the_first_engine(limited_fixture& fixture) {
    co_await fixture.loop.until([&fixture] { return !fixture.upstream.engines.empty(); });
    fixture.limit(base::engine_name(fixture.upstream.engines[0]), 1.0);
    fixture.decisions = {refused_by_home};
}

scripted_answer whole(std::string text) {
    scripted_answer one;
    one.stream = false;
    one.body = {bytes(std::move(text)), body_end};
    return one;
}

}  // namespace

Test(engine_limits, a_limit_holds_until_an_answer_without_it) {
    limited_fixture fixture;
    fixture.limit(e1, 1.4);
    fixture.limit(e1, 1.4);
    cr_assert(fixture.engine(e1).limit.per_second == 1.4);
    cr_assert_eq(fixture.limits.limited(), 1);
    cr_assert_eq(fixture.limits.counters().changes, 1);
    fixture.decisions = {refused_by_home};
    cr_assert_not(fixture.acquire(e1));
    fixture.limit(e1, std::nullopt);
    cr_assert_eq(fixture.limits.limited(), 0);
    cr_assert_eq(fixture.limits.counters().changes, 2);
    cr_assert(fixture.engine(e1).paused_until == base::monotonic_time{});
    cr_assert(fixture.acquire(e1));
    cr_assert_eq(fixture.asked.size(), 1, "no limit, no ask");
}

Test(engine_limits, a_change_is_announced_once) {
    limited_fixture fixture;
    for (const auto per_second : {std::optional(1.0), std::optional(1.0), std::optional(1.05),
                                  std::optional(2.0), std::optional<double>()}) {
        fixture.limit(e1, per_second);
    }
    cr_assert_eq(fixture.announced.size(), 3);
    cr_assert(fixture.announced[0].per_second == 1.0);
    cr_assert(fixture.announced[1].per_second == 2.0);
    cr_assert_not(fixture.announced[2].per_second);
}

Test(engine_limits, the_newest_statement_is_in_force_whoever_heard_it) {
    limited_fixture fixture;
    fixture.limit(e1, 2.0);
    fixture.limits.record_announcement({e1, 0, std::nullopt, 10s}, home);
    cr_assert(fixture.engine(e1).limit.per_second == 2.0, "heard before");
    fixture.limits.record_announcement({e2, 0, 1.0, 10s}, home);
    cr_assert(fixture.engine(e2).limit.per_second == 1.0);
    fixture.limits.record_announcement({e2, 7, std::nullopt, 1s}, home);
    cr_assert(fixture.engine(e2).limit.per_second == 1.0, "of another process");
    fixture.limits.record_announcement({e2, 0, std::nullopt, 1s}, home);
    cr_assert_not(fixture.engine(e2).limit.per_second);
    cr_assert(fixture.announced.size() == 1, "what was announced isn't passed on");
}

Test(engine_limits, a_new_process_has_no_limit) {
    limited_fixture fixture;
    listed_engine one = relay_fixture::listed("e1");
    one.process_start_ms = 1;
    fixture.registry.put(one, fixture.loop.scheduler.now());
    fixture.limit(e1, 1.0);
    one.process_start_ms = 2;
    fixture.registry.put(one, fixture.loop.scheduler.now());
    cr_assert_eq(fixture.limits.limited(), 0);
}

Test(engine_limits, a_limit_of_zero_leaves_the_requests_that_find_out_when_it_ends) {
    limited_fixture fixture;
    fixture.limit(e1, 0.0);
    cr_assert(fixture.acquire(e1));
    cr_assert_eq(fixture.asked[0].limit.per_second, 0.1);
}

Test(engine_limits, a_limit_that_no_engine_reaches_is_not_counted) {
    limited_fixture fixture;
    fixture.limit(e1, 1e9);
    cr_assert(fixture.acquire(e1));
    cr_assert(fixture.asked.empty());
}

Test(engine_limits, requests_sent_just_before_count_against_the_limit) {
    limited_fixture fixture;
    fixture.limits.record_sent(fixture.engine(e1), {});
    fixture.limits.record_sent(fixture.engine(e1), {});
    fixture.limit(e1, 1.0);
    cr_assert(fixture.acquire(e1));
    cr_assert_eq(fixture.asked[0].evidence.uncounted, 2);
    fixture.limits.record_sent(fixture.engine(e1), {true, 1.0, home});
    cr_assert(fixture.acquire(e1));
    cr_assert_eq(fixture.asked[1].evidence.uncounted, 0, "all have been counted");
    fixture.decisions = {{{true, {}, 0}, {}}};  // By the own share.
    fixture.limits.record_sent(fixture.engine(e1), {true, 1.0, {}});
    cr_assert(fixture.acquire(e1));
    cr_assert(fixture.acquire(e1));
    cr_assert_eq(fixture.asked[3].evidence.uncounted, 1, "no router counted it the first time");
}

Test(engine_limits, a_request_that_one_engine_may_not_get_goes_to_another) {
    limited_fixture fixture;
    fixture.limit(e1, 1.0);
    fixture.limit(e2, 1.0);
    fixture.decisions = {refused_by_home};
    fixture.answer(whole("ok"));
    fixture.serve_limited(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.asked.size(), 2);
    cr_assert_neq(fixture.asked[0].engine, fixture.asked[1].engine);
    cr_assert_eq(fixture.upstream.engines.size(), 1);
    cr_assert_eq(fixture.upstream.engines[0], fixture.asked[1].engine.value);
}

Test(engine_limits, a_limit_that_ends_during_an_ask_does_not_hold_the_engine_back) {
    limited_fixture fixture;
    fixture.limit(e1, 1.0);
    fixture.decisions = {refused_by_home};
    fixture.during_ask = [&fixture] { fixture.limit(e1, std::nullopt); };
    cr_assert_not(fixture.acquire(e1));
    cr_assert(fixture.engine(e1).paused_until == base::monotonic_time{});
}

Test(engine_limits, refused_permits_do_not_keep_a_request_from_an_engine_without_a_limit) {
    limited_fixture fixture;
    std::vector<listed_engine> engines = {relay_fixture::listed("unlimited")};
    for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
        engines.push_back(relay_fixture::listed(name));
    }
    fixture.registry.replace_all(engines, fixture.loop.scheduler.now());
    for (std::size_t index = 1; index < engines.size(); ++index) {
        fixture.limit(engines[index].name, 1.0);
        fixture.decisions.push_back(refused_by_home);
    }
    // The engine without a limit is the busiest one, so that all others are preferred.
    std::deque<engine_load> load;
    for (int running = 0; running < 7; ++running) {
        load.emplace_back(fixture.registry, engines[0].name, 0);
    }
    fixture.answer(whole("ok"));
    fixture.serve_limited(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert_eq(fixture.upstream.engines[0], std::string("unlimited"));
    cr_assert_eq(fixture.asked.size(), 4);
}

Test(engine_limits, an_engine_that_refused_is_not_asked_again_before_its_time) {
    limited_fixture fixture;
    fixture.limit(e1, 1.0);
    fixture.limit(e2, 1.0);
    fixture.decisions = {refused_by_home, refused_by_home};
    fixture.serve_limited(fixture.call("/unsafe/"));
    fixture.serve_limited(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.asked.size(), 2);
    cr_assert(fixture.upstream.engines.empty());
}

Test(engine_limits, if_all_limits_are_used_up_callers_are_told_when_to_return) {
    limited_fixture fixture;
    fixture.limit(e1, 1.0);
    fixture.limit(e2, 1.0);
    fixture.decisions = {refused_by_home, refused_by_home};
    std::vector<double> told;
    for (int request = 0; request < 2; ++request) {
        fixture.serve_limited(fixture.call("/unsafe/"));
        cr_assert_eq(fixture.writer.status, 503);
        cr_assert(fixture.outcomes.back().refusal->cause == refusal_cause::engines_limited);
        told.push_back(std::stod(std::string(*fixture.writer.headers.find("Retry-After"))));
    }
    cr_assert_geq(told[0], 0.6, "none of the engines may get a request sooner");
    cr_assert_leq(told[0], 0.7);
    cr_assert_geq(told[1], told[0] + 0.4, "2 requests a second");
}

Test(engine_limits, a_limit_learned_while_the_connection_opens_holds_the_request_back) {
    limited_fixture fixture;
    scripted_answer slow = whole("ok");
    slow.connecting = 20ms;
    fixture.answer(slow);
    fixture.loop.scheduler.spawn("peer", limit_the_first_engine(fixture));
    fixture.serve_limited(fixture.call("/unsafe/"));
    cr_assert_eq(fixture.writer.status, 200);
    cr_assert(fixture.upstream.looks[0].lost == dispatch_precondition::within_limit);
    cr_assert_neq(fixture.upstream.engines[0], fixture.upstream.engines[1]);
}

Test(engine_limits, a_stream_that_continues_at_a_limited_engine_needs_a_permit) {
    limited_fixture fixture;
    fixture.limit(e1, 1.0);
    fixture.limit(e2, 1.0);
    scripted_answer broken;
    broken.body = {bytes(event(1)), body_broken};
    scripted_answer rest;
    rest.body = {bytes(event(2)), body_end};
    fixture.answer(broken);
    fixture.answer(rest);
    fixture.serve_limited(fixture.call("/resumable/"));
    cr_assert(fixture.writer.body == event(1) + event(2));
    cr_assert_eq(fixture.asked.size(), 2);
    cr_assert_eq(fixture.limits.counters().granted, 2);
}
