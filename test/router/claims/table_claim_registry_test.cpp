/// Tests claims of two routers on one table in virtual time, with lost answers, outages and
/// holders that died.
#include "ferryroad/router/claims/table_claim_registry.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/platform/batching_table.hpp"
#include "test/router/claims/faulty_table.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <set>

using namespace ferryroad;
using namespace std::chrono_literals;
using router::claim_answer;

namespace {

struct fake_liveness final : router::process_liveness {
    std::set<base::router_name> dead;
    bool known_dead(const base::router_name& router, base::incarnation) const override {
        return dead.contains(router);
    }
    std::size_t live_routers() const override { return 2; }
};

/// One router process with its own claim registry.
struct process {
    process(bench::simulation::virtual_time& time, emulator::table_model& rows, const char* name,
            std::uint64_t incarnation)
        : scheduler(time, incarnation),
          table(scheduler, rows),
          registry(scheduler, merged, liveness,
                   {base::router_name(name), base::incarnation(incarnation)}) {}
    ~process() { scheduler.kill(); }

    bench::simulation::virtual_scheduler scheduler;
    test::faulty_table table;
    platform::batching_table merged{scheduler, table, {{1000, 10}, {}}};
    fake_liveness liveness;
    router::table_claim_registry registry;
};

using claimed = runtime::result<router::claim_result, platform::error>;
using closed = runtime::result<void, platform::error>;

runtime::task<void> run_claim(process& router_process, router::claim_request request,
                              std::optional<claimed>& destination) {
    destination = co_await router_process.registry.claim(std::move(request));
}
runtime::task<void> run_finish(process& router_process, router::claim_request request,
                               router::recorded_outcome outcome,
                               std::optional<closed>& destination) {
    destination = co_await router_process.registry.finish(std::move(request), std::move(outcome));
}
runtime::task<void> run_release(process& router_process, router::claim_request request,
                                std::optional<closed>& destination) {
    destination = co_await router_process.registry.release(std::move(request));
}

router::claim_request request_of(const char* attempt, const char* content = "c") {
    return {base::tenant_name("t"), base::route_name("r"), base::idempotency_key("k"),
            base::attempt_id(attempt), content};
}

router::recorded_outcome done() {
    return {core::execution::execution_report::complete, 201, "text/plain", "done"};
}
router::recorded_outcome unknown() {
    return {core::execution::execution_report::unknown, 0, "", ""};
}

struct two_routers {
    bench::simulation::virtual_time time{1};
    emulator::table_model rows;
    process first{time, rows, "r1", 1};
    process second{time, rows, "r2", 1};

    void advance(base::duration span) {
        time.run_until(time.now() + span);
        cr_assert(time.failures().empty());
    }
    claimed claim(process& router_process, const char* attempt, const char* content = "c") {
        answers.emplace_back();
        router_process.scheduler.spawn(
            "claim", run_claim(router_process, request_of(attempt, content), answers.back()));
        advance(1min);
        return *answers.back();
    }
    claim_answer answer(process& router_process, const char* attempt, const char* content = "c") {
        const auto result = claim(router_process, attempt, content);
        cr_assert(result.has_value());
        return result->answer;
    }
    void finish(process& router_process, const char* attempt,
                const router::recorded_outcome& outcome) {
        std::optional<closed> end;
        router_process.scheduler.spawn(
            "finish", run_finish(router_process, request_of(attempt), outcome, end));
        advance(1min);
        cr_assert(end.has_value());
    }
    void release(process& router_process, const char* attempt) {
        std::optional<closed> end;
        router_process.scheduler.spawn("release",
                                       run_release(router_process, request_of(attempt), end));
        advance(1min);
        cr_assert(end.has_value());
    }
    std::deque<std::optional<claimed>> answers;
};

}  // namespace

Test(table_claim_registry, one_of_two_routers_is_granted) {
    two_routers run;
    std::optional<claimed> one, other;
    run.first.scheduler.spawn("claim", run_claim(run.first, request_of("a1"), one));
    run.second.scheduler.spawn("claim", run_claim(run.second, request_of("a2"), other));
    run.advance(1min);
    const bool first_won = (*one)->answer == claim_answer::granted;
    const bool second_won = (*other)->answer == claim_answer::granted;
    cr_assert_neq(first_won, second_won);
}

Test(table_claim_registry, a_repeat_gets_the_recorded_outcome) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.finish(run.first, "a1", done());
    const auto repeated = run.claim(run.second, "a2");
    cr_assert_eq(repeated->answer, claim_answer::finished);
    cr_assert(repeated->outcome->body == "done");
    cr_assert_eq(run.answer(run.second, "a3", "other"), claim_answer::other_content);
}

Test(table_claim_registry, a_repeat_waits_briefly_for_the_outcome) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    std::optional<claimed> repeated;
    run.second.scheduler.spawn("claim", run_claim(run.second, request_of("a2"), repeated));
    run.advance(100ms);
    cr_assert_not(repeated.has_value());
    run.finish(run.first, "a1", done());
    cr_assert_eq((*repeated)->answer, claim_answer::finished);
}

Test(table_claim_registry, a_released_key_is_free) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.release(run.first, "a1");
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::granted);
}

Test(table_claim_registry, lost_answer_after_the_commit_is_read_back) {
    two_routers run;
    run.first.table.lost_answers = 1;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::in_progress);
}

Test(table_claim_registry, lost_request_is_sent_again) {
    two_routers run;
    run.first.table.lost_requests = 1;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
}

Test(table_claim_registry, lost_answer_of_a_finish_is_read_back) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.first.table.lost_answers = 1;
    run.finish(run.first, "a1", done());
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::finished);
}

Test(table_claim_registry, an_outage_refuses_with_a_retry_time) {
    two_routers run;
    run.first.table.outage = true;
    const auto refused = run.claim(run.first, "a1");
    cr_assert(refused.has_error());
    cr_assert(refused.error().retry_after == 3s);
    run.first.table.outage = false;
    cr_assert_eq(run.answer(run.first, "a2"), claim_answer::granted);
}

Test(table_claim_registry, a_claim_whose_answer_stays_lost_is_freed_again) {
    two_routers run;
    run.first.table.lost_answers = 1;
    run.first.table.reads_fail = true;
    cr_assert(run.claim(run.first, "a1").has_error());
    run.first.table.reads_fail = false;
    run.release(run.first, "a1");
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::granted);
}

Test(table_claim_registry, killed_between_claim_and_dispatch_closes_the_key) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.first.scheduler.kill();
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::in_progress);
    run.second.liveness.dead.insert(base::router_name("r1"));
    const auto repeated = run.claim(run.second, "a3");
    cr_assert_eq(repeated->answer, claim_answer::finished);
    cr_assert_eq(repeated->outcome->execution, core::execution::execution_report::unknown);
}

Test(table_claim_registry, a_restarted_router_treats_its_previous_process_as_dead) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.first.scheduler.kill();
    process restarted(run.time, run.rows, "r1", 2);
    cr_assert_eq(run.answer(restarted, "a2"), claim_answer::finished);
}

Test(table_claim_registry, a_claim_that_runs_too_long_closes_the_key) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.advance(coordination::claim::tunables{}.abandoned_after);
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::finished);
    run.finish(run.first, "a1", done());
    const auto repeated = run.claim(run.second, "a3");
    cr_assert(repeated->outcome->body == "done", "the holder was alive and recorded the outcome");
}

Test(table_claim_registry, a_key_of_unknown_outcome_stays_closed) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.finish(run.first, "a1", unknown());
    const auto repeated = run.claim(run.second, "a2");
    cr_assert_eq(repeated->outcome->execution, core::execution::execution_report::unknown);
}

Test(table_claim_registry, many_claims_share_few_calls) {
    two_routers run;
    constexpr int claims = 100;
    std::deque<std::optional<claimed>> answers(claims);
    for (int index = 0; index < claims; ++index) {
        auto request = request_of(("a" + std::to_string(index)).c_str());
        request.key = base::idempotency_key("k" + std::to_string(index));
        auto& destination = answers[static_cast<std::size_t>(index)];
        run.first.scheduler.spawn("claim", run_claim(run.first, request, destination));
    }
    run.advance(1s);
    for (const auto& each : answers) {
        cr_assert_eq((*each)->answer, claim_answer::granted);
    }
    cr_assert_leq(run.first.table.calls, 5U);
}

Test(table_claim_registry, sweep_deletes_expired_claims_and_closes_abandoned_ones) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.finish(run.first, "a1", done());
    auto abandoned = request_of("b1");
    abandoned.key = base::idempotency_key("abandoned");
    std::optional<claimed> other;
    run.first.scheduler.spawn("claim", run_claim(run.first, abandoned, other));
    run.advance(coordination::claim::tunables{}.retention);
    run.second.scheduler.spawn("sweep", run.second.registry.run_sweep_loop());
    run.advance(10min);
    const auto left = run.rows.scan("claim/", {}, 10);
    cr_assert_eq(left.size(), 1U);
    const auto marked = coordination::claim::try_decode(left.front().value);
    cr_assert_eq(marked->state, coordination::claim::record_state::unknown);
}
