/// Claims of two routers on one table, in virtual time: lost answers, outages, dead holders.
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

struct listed_dead final : router::process_liveness {
    std::set<base::router_name> dead;
    bool known_dead(const base::router_name& router, base::incarnation) const override {
        return dead.contains(router);
    }
    std::size_t live_routers() const override { return 2; }
};

/// One router process and its claims.
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
    listed_dead liveness;
    router::table_claim_registry registry;
};

using claimed = runtime::result<router::claim_result, platform::error>;
using closed = runtime::result<void, platform::error>;

runtime::task<void> keep_claim(process& by, router::claim_request request,
                               std::optional<claimed>& into) {
    into = co_await by.registry.claim(std::move(request));
}
runtime::task<void> keep_finish(process& by, router::claim_request request,
                                router::recorded_outcome outcome, std::optional<closed>& into) {
    into = co_await by.registry.finish(std::move(request), std::move(outcome));
}
runtime::task<void> keep_release(process& by, router::claim_request request,
                                 std::optional<closed>& into) {
    into = co_await by.registry.release(std::move(request));
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

    void pass(base::duration span) {
        time.run_until(time.now() + span);
        cr_assert(time.failures().empty());
    }
    claimed claim(process& by, const char* attempt, const char* content = "c") {
        answers.emplace_back();
        by.scheduler.spawn("claim", keep_claim(by, request_of(attempt, content), answers.back()));
        pass(1min);
        return *answers.back();
    }
    claim_answer answer(process& by, const char* attempt, const char* content = "c") {
        const auto result = claim(by, attempt, content);
        cr_assert(result.has_value());
        return result->answer;
    }
    void finish(process& by, const char* attempt, const router::recorded_outcome& outcome) {
        std::optional<closed> end;
        by.scheduler.spawn("finish", keep_finish(by, request_of(attempt), outcome, end));
        pass(1min);
        cr_assert(end.has_value());
    }
    void release(process& by, const char* attempt) {
        std::optional<closed> end;
        by.scheduler.spawn("release", keep_release(by, request_of(attempt), end));
        pass(1min);
        cr_assert(end.has_value());
    }
    std::deque<std::optional<claimed>> answers;
};

}  // namespace

Test(table_claim_registry, one_of_two_routers_is_granted) {
    two_routers run;
    std::optional<claimed> one, other;
    run.first.scheduler.spawn("claim", keep_claim(run.first, request_of("a1"), one));
    run.second.scheduler.spawn("claim", keep_claim(run.second, request_of("a2"), other));
    run.pass(1min);
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

Test(table_claim_registry, a_repeat_waits_a_moment_for_the_outcome) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    std::optional<claimed> repeated;
    run.second.scheduler.spawn("claim", keep_claim(run.second, request_of("a2"), repeated));
    run.pass(100ms);
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

Test(table_claim_registry, lost_question_is_asked_again) {
    two_routers run;
    run.first.table.lost_questions = 1;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
}

Test(table_claim_registry, lost_answer_of_a_finish_is_read_back) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.first.table.lost_answers = 1;
    run.finish(run.first, "a1", done());
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::finished);
}

Test(table_claim_registry, an_outage_refuses_with_a_time) {
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

Test(table_claim_registry, a_restarted_router_knows_its_own_earlier_process_dead) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.first.scheduler.kill();
    process restarted(run.time, run.rows, "r1", 2);
    cr_assert_eq(run.answer(restarted, "a2"), claim_answer::finished);
}

Test(table_claim_registry, a_claim_at_work_too_long_closes_the_key) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.pass(coordination::claim::tunables{}.abandoned_after);
    cr_assert_eq(run.answer(run.second, "a2"), claim_answer::finished);
    run.finish(run.first, "a1", done());
    const auto repeated = run.claim(run.second, "a3");
    cr_assert(repeated->outcome->body == "done", "the holder lived and says what came of it");
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
        auto& into = answers[static_cast<std::size_t>(index)];
        run.first.scheduler.spawn("claim", keep_claim(run.first, request, into));
    }
    run.pass(1s);
    for (const auto& each : answers) {
        cr_assert_eq((*each)->answer, claim_answer::granted);
    }
    cr_assert_leq(run.first.table.calls, 5U);
}

Test(table_claim_registry, sweep_forgets_old_claims_and_closes_abandoned_ones) {
    two_routers run;
    cr_assert_eq(run.answer(run.first, "a1"), claim_answer::granted);
    run.finish(run.first, "a1", done());
    auto abandoned = request_of("b1");
    abandoned.key = base::idempotency_key("abandoned");
    std::optional<claimed> other;
    run.first.scheduler.spawn("claim", keep_claim(run.first, abandoned, other));
    run.pass(coordination::claim::tunables{}.retention);
    run.second.scheduler.spawn("sweep", run.second.registry.sweep_for_ever());
    run.pass(10min);
    const auto left = run.rows.scan("claim/", {}, 10);
    cr_assert_eq(left.size(), 1U);
    const auto marked = coordination::claim::try_decode(left.front().value);
    cr_assert_eq(marked->state, coordination::claim::record_state::unknown);
}
