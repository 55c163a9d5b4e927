/// Reaction of the state machine to each kind of failure.
#include "ferryroad/core/execution/request_execution.hpp"

#include "ferryroad/core/admission/retry_budget.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace ferryroad::core::execution;
namespace base = ferryroad::base;

namespace {

constexpr base::monotonic_time start{std::chrono::seconds(100)};

enum class next { resumes, retries, refuses };

struct row {
    const char* name;
    bool repeatable;
    std::uint32_t tokens;  ///< Tokens received before the failure.
    failure_kind kind;
    failure_proof proof;
    next then;
    refusal_reason reason;
    execution_report report;
};

using enum failure_kind;
using enum failure_proof;
constexpr auto none = refusal_reason::caller_gone;  // Placeholder in rows without a refusal.
constexpr row rows[] = {
    {"connect failed", true, 0, unreachable, not_sent, next::retries, none, {}},
    {"connect failed, once only", false, 0, unreachable, not_sent, next::retries, none, {}},
    {"taken back before the first byte", true, 0, withheld, not_sent, next::retries, none, {}},
    {"taken back before the first byte, once only",
     false,
     0,
     withheld,
     not_sent,
     next::retries,
     none,
     {}},
    {"refused, once only", false, 0, overloaded, not_run, next::retries, none, {}},
    {"wrong incarnation, once only", false, 0, stale_target, not_run, next::retries, none, {}},
    {"lost before start, once only", false, 0, broken, unknown, next::refuses,
     refusal_reason::outcome_unknown, execution_report::unknown},
    {"silent before start, once only", false, 0, timed_out, unknown, next::refuses,
     refusal_reason::outcome_unknown, execution_report::unknown},
    {"lost before start", true, 0, broken, unknown, next::retries, none, {}},
    {"broken stream", true, 2, broken, unknown, next::resumes, none, {}},
    {"broken stream, once only", false, 2, broken, unknown, next::resumes, none, {}},
    {"silent stream", true, 2, timed_out, unknown, next::retries, none, {}},
    {"silent stream, once only", false, 2, timed_out, unknown, next::resumes, none, {}},
    {"engine failed", true, 2, engine_failure, unknown, next::retries, none, {}},
    {"engine failed, once only", false, 2, engine_failure, unknown, next::refuses,
     refusal_reason::outcome_unknown, execution_report::unknown},
    {"not run after tokens", false, 2, overloaded, not_run, next::refuses,
     refusal_reason::outcome_unknown, execution_report::unknown},
    {"never runs", true, 0, rejected, not_run, next::refuses, refusal_reason::rejected,
     execution_report::not_run},
};
constexpr std::size_t row_count = sizeof(rows) / sizeof(rows[0]);

execution_rules rules_of(bool repeatable) {
    execution_rules rules;
    rules.repeatable = repeatable;
    rules.deadline = start + std::chrono::seconds(10);
    return rules;
}

engine_selected engine(const char* name) {
    return {{base::engine_name(name), base::incarnation(7)}};
}

/// A state machine whose first attempt runs on engine "a" and has emitted `tokens` tokens.
struct running {
    explicit running(const execution_rules& rules, std::uint32_t tokens = 0)
        : machine(rules), budget(0.1) {
        machine.begin(start);
        feed(engine("a"));
        for (std::uint32_t index = 0; index < tokens; ++index) {
            feed(token_received{exchange_number(1), index});
        }
    }
    action_list feed(const event& happened) { return machine.handle(happened, start, budget); }

    request_execution machine;
    ferryroad::core::admission::retry_budget budget;
};

template <typename Kind>
const Kind* find(const action_list& actions) {
    for (const action& each : actions) {
        if (const auto* found = std::get_if<Kind>(&each)) {
            return found;
        }
    }
    return nullptr;
}

}  // namespace

ParameterizedTestParameters(request_execution, failure_table) {
    static std::size_t indexes[row_count];
    for (std::size_t index = 0; index < row_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, row_count);
}

ParameterizedTest(std::size_t* index, request_execution, failure_table) {
    const row& expected = rows[*index];
    running state(rules_of(expected.repeatable), expected.tokens);
    const auto actions =
        state.feed(exchange_failed{exchange_number(1), expected.kind, expected.proof});
    const auto* resume = find<resume_attempt>(actions);
    const auto* retry = find<select_engine>(actions);
    const auto* refused = find<refuse>(actions);
    cr_assert_eq(resume != nullptr, expected.then == next::resumes, "%s", expected.name);
    cr_assert_eq(retry != nullptr, expected.then == next::retries, "%s", expected.name);
    cr_assert_eq(refused != nullptr, expected.then == next::refuses, "%s", expected.name);
    if (resume) {
        cr_assert_eq(resume->first_token, expected.tokens);
    }
    if (retry) {
        cr_assert_eq(retry->excluded.size(), 1U);
        const auto again = state.feed(engine("b"));
        cr_assert_eq(find<dispatch_attempt>(again)->first_token, expected.tokens);
    }
    if (refused) {
        cr_assert_eq(refused->reason, expected.reason, "%s", expected.name);
        cr_assert_eq(refused->report, expected.report, "%s", expected.name);
    }
}

Test(request_execution, late_answers_of_an_ended_exchange_are_dropped) {
    running state(rules_of(true), 1);
    state.feed(exchange_failed{exchange_number(1), failure_kind::broken});
    cr_assert(state.feed(token_received{exchange_number(1), 1}).empty());
    cr_assert(state.feed(exchange_ended{exchange_number(1), 1}).empty());
    cr_assert_eq(state.machine.dropped(), 2U);
    cr_assert(find<emit_token>(state.feed(token_received{exchange_number(2), 1})));
}

Test(request_execution, resumes_end_and_another_engine_continues) {
    running state(rules_of(true), 3);
    const tunables limits;
    std::uint32_t exchange = 1;
    for (std::uint32_t resumed = 0; resumed < limits.max_resumes_per_attempt; ++resumed) {
        const exchange_failed broken{exchange_number(exchange++), failure_kind::broken};
        cr_assert(find<resume_attempt>(state.feed(broken)));
    }
    const auto actions =
        state.feed(exchange_failed{exchange_number(exchange), failure_kind::broken});
    cr_assert(find<cancel_attempt>(actions), "the first engine is told to end the attempt");
    cr_assert(find<select_engine>(actions));
    cr_assert_eq(find<dispatch_attempt>(state.feed(engine("b")))->first_token, 3U);
}

Test(request_execution, a_stream_that_breaks_often_but_goes_on_is_followed) {
    running state(rules_of(true), 1);
    for (std::uint32_t token = 1; token < 20; ++token) {
        const exchange_failed cut{exchange_number(token), failure_kind::broken};
        cr_assert(find<resume_attempt>(state.feed(cut)));
        cr_assert(find<emit_token>(state.feed(token_received{exchange_number(token + 1), token})));
    }
}

Test(request_execution, an_end_that_counts_other_tokens_is_no_end) {
    running state(rules_of(true), 2);
    const auto actions = state.feed(exchange_ended{exchange_number(1), 3});
    cr_assert_null(find<finish>(actions));
    cr_assert(find<resume_attempt>(actions));
}

Test(request_execution, retries_stop_with_the_budget) {
    running state(rules_of(true));
    while (state.budget.try_retry()) {
    }
    const auto actions = state.feed(exchange_failed{exchange_number(1), failure_kind::broken});
    cr_assert_eq(find<refuse>(actions)->reason, refusal_reason::engine_failed);
    cr_assert_eq(find<refuse>(actions)->report, execution_report::unknown);
}

Test(request_execution, a_second_full_engine_means_a_full_pool) {
    running state(rules_of(true));
    const exchange_failed first{exchange_number(1), overloaded, not_run, std::chrono::seconds(3)};
    cr_assert(find<select_engine>(state.feed(first)));
    state.feed(engine("b"));
    const exchange_failed second{exchange_number(2), overloaded, not_run, std::chrono::seconds(3)};
    const auto actions = state.feed(second);
    cr_assert_eq(find<refuse>(actions)->reason, refusal_reason::overloaded);
    cr_assert_eq(find<refuse>(actions)->report, execution_report::not_run);
    cr_assert_eq(find<refuse>(actions)->retry_after, std::chrono::seconds(3));
}

Test(request_execution, tells_whether_the_next_attempt_may_be_repeated) {
    tunables limits;
    limits.executions = 2;
    request_execution fresh(rules_of(true), limits);
    ferryroad::core::admission::retry_budget budget(0.1);
    fresh.begin(start);
    cr_assert(fresh.may_repeat_next_attempt());
    fresh.handle(engine("a"), start, budget);
    fresh.handle(exchange_failed{exchange_number(1), overloaded, not_run}, start, budget);
    cr_assert(fresh.may_repeat_next_attempt(), "the first attempt did not run");
    fresh.handle(engine("b"), start, budget);
    fresh.handle(exchange_failed{exchange_number(2), broken, unknown}, start, budget);
    cr_assert_not(fresh.may_repeat_next_attempt(), "the second one may have run");
    cr_assert_not(request_execution(rules_of(false), limits).may_repeat_next_attempt());
}

Test(request_execution, caller_gone_cancels_the_engines_attempt) {
    running state(rules_of(true), 1);
    const auto actions = state.feed(caller_gone{});
    cr_assert(find<cancel_attempt>(actions));
    cr_assert(state.machine.ended());
    cr_assert(state.feed(caller_gone{}).empty());
}

Test(request_execution, a_claim_that_may_have_been_recorded_is_released) {
    auto rules = rules_of(false);
    rules.claimed = true;
    request_execution machine(rules);
    ferryroad::core::admission::retry_budget budget(0.1);
    cr_assert(find<claim_key>(machine.begin(start)));
    const auto actions = machine.handle(deadline_passed{}, start, budget);
    cr_assert_eq(find<refuse>(actions)->report, execution_report::not_run);
    cr_assert_eq(find<settle_claim>(actions)->settlement, claim_settlement::release);
}
