#include "ferryroad/core/execution/request_execution.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::execution {

namespace {

bool is_proven_not_run(const attempt_record& attempt) {
    return attempt.state == attempt_state::not_sent ||
           attempt.state == attempt_state::proven_not_run;
}

/// @return whether a retry after this failure is charged to the retry budget. Failures that come
/// from stale routing information don't indicate a failing pool.
bool charges_budget(failure_kind kind, const tunables& limits) {
    if (kind == failure_kind::stale_target) {
        return !limits.stale_target_retry_is_free;
    }
    return kind != failure_kind::unreachable && kind != failure_kind::withheld;
}

refusal_reason refusal_reason_for(failure_kind kind) {
    switch (kind) {
        case failure_kind::overloaded:
            return refusal_reason::overloaded;
        case failure_kind::rejected:
            return refusal_reason::rejected;
        default:
            return refusal_reason::engine_failed;
    }
}

}  // namespace

request_execution::request_execution(execution_rules rules, tunables limits)
    : rules_(rules), limits_(limits) {}

action_list request_execution::begin(base::monotonic_time now) {
    if (phase_ != phase::idle) {
        return drop_event();
    }
    if (now >= rules_.deadline) {
        return end_with_refusal(refusal_reason::deadline_exceeded, std::nullopt);
    }
    if (rules_.claimed) {
        phase_ = phase::claiming;
        return {claim_key{}};
    }
    return select();
}

action_list request_execution::handle(const event& happened, base::monotonic_time now,
                                      admission::retry_allowance& budget) {
    context at{now, budget};
    return std::visit([&](const auto& kind) { return on(kind, at); }, happened);
}

execution_report request_execution::report() const {
    const bool complete = std::any_of(
        attempts_.begin(), attempts_.end(),
        [](const attempt_record& attempt) { return attempt.state == attempt_state::complete; });
    if (complete) {
        return execution_report::complete;
    }
    const bool not_run = std::all_of(attempts_.begin(), attempts_.end(), is_proven_not_run);
    return not_run ? execution_report::not_run : execution_report::unknown;
}

action_list request_execution::on(const claim_answered& answer, context& at) {
    if (phase_ != phase::claiming) {
        return drop_event();
    }
    switch (answer.decision) {
        case claim_decision::granted:
            holds_claim_ = true;
            if (at.now >= rules_.deadline) {
                return end_with_refusal(refusal_reason::deadline_exceeded, std::nullopt);
            }
            return select();
        case claim_decision::finished:
            phase_ = phase::ended;
            return {replay_outcome{}};
        case claim_decision::in_progress:
            return end_with_refusal(refusal_reason::claim_in_progress, answer.retry_after);
        case claim_decision::other_content:
            return end_with_refusal(refusal_reason::claim_other_content, answer.retry_after);
        case claim_decision::unavailable:
            break;
    }
    // The claim may have been recorded although no answer arrived. Settle it as held, so that the
    // key is released; nothing will run.
    holds_claim_ = true;
    return end_with_refusal(refusal_reason::claim_unavailable, answer.retry_after);
}

action_list request_execution::on(const engine_selected& selected, context& at) {
    if (phase_ != phase::selecting) {
        return drop_event();
    }
    if (at.now >= rules_.deadline) {
        return end_with_refusal(refusal_reason::deadline_exceeded, std::nullopt);
    }
    const attempt_number number(static_cast<std::uint32_t>(attempts_.size()) + 1);
    attempts_.push_back({number, selected.engine, attempt_state::sent});
    retry_charged_ = false;
    ++last_exchange_.value;
    phase_ = phase::exchanging;
    return {dispatch_attempt{last_exchange_, number, selected.engine, next_token_}};
}

action_list request_execution::on(const selection_failed& failed, context& at) {
    if (phase_ != phase::selecting) {
        return drop_event();
    }
    if (retry_charged_) {
        at.budget.give_back();  // The retry was not sent.
        retry_charged_ = false;
    }
    if (failed.problem == selection_problem::deadline_too_near || overloaded_refusals_ > 0) {
        return end_with_refusal(refusal_reason::overloaded, failed.retry_after);
    }
    const bool ran = report() != execution_report::not_run;
    const auto reason = ran ? refusal_reason::engine_failed : refusal_reason::no_engine;
    return end_with_refusal(reason, failed.retry_after);
}

action_list request_execution::on(const exchange_started& started, context&) {
    if (!is_current(started.exchange)) {
        return drop_event();
    }
    attempts_.back().started = true;
    return {};
}

action_list request_execution::on(const token_received& token, context& at) {
    if (!is_current(token.exchange)) {
        return drop_event();
    }
    attempts_.back().started = true;
    if (token.index != next_token_) {
        return on(exchange_failed{token.exchange, failure_kind::broken}, at);
    }
    ++next_token_;
    attempts_.back().resumes = 0;  // Only resumes without progress are limited.
    return {emit_token{token.index}};
}

action_list request_execution::on(const exchange_ended& ended, context& at) {
    if (!is_current(ended.exchange)) {
        return drop_event();
    }
    attempts_.back().started = true;
    if (rules_.streamed && ended.tokens != next_token_) {
        return on(exchange_failed{ended.exchange, failure_kind::broken}, at);
    }
    attempts_.back().state = attempt_state::complete;
    phase_ = phase::ended;
    at.budget.record_success();
    action_list actions{finish{next_token_}};
    settle(actions);
    return actions;
}

action_list request_execution::on(const exchange_failed& failed, context& at) {
    if (!is_current(failed.exchange)) {
        return drop_event();
    }
    attempt_record& attempt = attempts_.back();
    record_failure(attempt, failed);
    if (failed.kind == failure_kind::overloaded) {
        ++overloaded_refusals_;
    }
    if (may_resume(attempt, failed.kind) && at.now < rules_.deadline) {
        return resume(attempt);
    }
    if (may_retry(failed, at)) {
        return retry();
    }
    return fail(failed);
}

action_list request_execution::on(const caller_gone&, context&) {
    if (phase_ == phase::ended) {
        return {};
    }
    return end_with_refusal(refusal_reason::caller_gone, std::nullopt);
}

action_list request_execution::on(const deadline_passed&, context&) {
    if (phase_ == phase::ended) {
        return {};
    }
    return end_with_refusal(refusal_reason::deadline_exceeded, std::nullopt);
}

bool request_execution::is_current(exchange_number exchange) {
    return phase_ == phase::exchanging && exchange == last_exchange_;
}

action_list request_execution::drop_event() {
    ++dropped_;
    return {};
}

action_list request_execution::select() {
    phase_ = phase::selecting;
    select_engine wanted;
    for (const attempt_record& attempt : attempts_) {
        wanted.excluded.push_back(attempt.engine.name);
    }
    return {std::move(wanted)};
}

void request_execution::record_failure(attempt_record& attempt,
                                       const exchange_failed& failed) const {
    // A proof is valid only before the engine accepted the attempt. The failure of a resume proves
    // nothing about the attempt itself.
    const bool proof_counts = !attempt.started;
    if (proof_counts && failed.proof == failure_proof::not_sent) {
        attempt.state = attempt_state::not_sent;
    } else if (proof_counts && failed.proof == failure_proof::not_run) {
        attempt.state = attempt_state::proven_not_run;
    } else {
        attempt.state = attempt_state::unknown;
    }
}

bool request_execution::may_resume(const attempt_record& attempt, failure_kind kind) const {
    if (!rules_.streamed || !attempt.started || is_proven_not_run(attempt)) {
        return false;
    }
    if (attempt.resumes >= limits_.max_resumes_per_attempt) {
        return false;
    }
    if (kind == failure_kind::broken) {
        return true;
    }
    // An engine that timed out is asked again only if the request must not run elsewhere.
    return kind == failure_kind::timed_out && !rules_.repeatable;
}

action_list request_execution::resume(attempt_record& attempt) {
    ++attempt.resumes;
    attempt.state = attempt_state::sent;
    ++last_exchange_.value;
    return {resume_attempt{last_exchange_, attempt.number, attempt.engine, next_token_}};
}

std::size_t request_execution::executions() const {
    const auto count =
        std::count_if(attempts_.begin(), attempts_.end(),
                      [](const attempt_record& attempt) { return !is_proven_not_run(attempt); });
    return static_cast<std::size_t>(count);
}

bool request_execution::may_repeat_next_attempt() const {
    return rules_.repeatable && attempts_.size() + 1 < limits_.attempts &&
           executions() + 1 < limits_.executions;
}

bool request_execution::may_retry(const exchange_failed& failed, context& at) {
    if (failed.kind == failure_kind::rejected || at.now >= rules_.deadline) {
        return false;
    }
    if (attempts_.size() >= limits_.attempts) {
        return false;
    }
    if (overloaded_refusals_ >= limits_.max_overloaded_refusals) {
        return false;
    }
    if (executions() >= limits_.executions) {
        return false;
    }
    if (!rules_.repeatable && !is_proven_not_run(attempts_.back())) {
        return false;
    }
    retry_charged_ = charges_budget(failed.kind, limits_);
    return !retry_charged_ || at.budget.try_retry(at.now);
}

action_list request_execution::retry() {
    action_list actions;
    cancel_live_attempt(actions);
    for (action& next : select()) {
        actions.push_back(std::move(next));
    }
    return actions;
}

action_list request_execution::fail(const exchange_failed& failed) {
    const bool ran = report() != execution_report::not_run;
    auto reason = refusal_reason_for(failed.kind);
    if (ran && !rules_.repeatable) {
        reason = refusal_reason::outcome_unknown;
    } else if (!ran && reason == refusal_reason::engine_failed) {
        reason = refusal_reason::no_engine;
    }
    return end_with_refusal(reason, failed.retry_after);
}

action_list request_execution::end_with_refusal(refusal_reason reason,
                                                std::optional<base::duration> retry_after) {
    const bool claiming = phase_ == phase::claiming;
    holds_claim_ = holds_claim_ || (claiming && (reason == refusal_reason::deadline_exceeded ||
                                                 reason == refusal_reason::caller_gone));
    phase_ = phase::ended;
    action_list actions;
    cancel_live_attempt(actions);
    actions.emplace_back(refuse{reason, report(), retry_after.value_or(limits_.retry_after)});
    settle(actions);
    return actions;
}

void request_execution::cancel_live_attempt(action_list& actions) {
    if (attempts_.empty()) {
        return;
    }
    attempt_record& attempt = attempts_.back();
    if (is_proven_not_run(attempt) || attempt.state == attempt_state::complete) {
        return;
    }
    attempt.state = attempt_state::unknown;
    actions.emplace_back(cancel_attempt{attempt.number, attempt.engine});
}

void request_execution::settle(action_list& actions) {
    if (!holds_claim_) {
        return;
    }
    holds_claim_ = false;
    switch (report()) {
        case execution_report::complete:
            actions.emplace_back(settle_claim{claim_settlement::complete});
            return;
        case execution_report::not_run:
            actions.emplace_back(settle_claim{claim_settlement::release});
            return;
        case execution_report::unknown:
            actions.emplace_back(settle_claim{claim_settlement::unknown});
            return;
    }
}

}  // namespace ferryroad::core::execution
