#include "ferryroad/router/request/engine_failures.hpp"

namespace ferryroad::router {

namespace execution = core::execution;

namespace {

execution::failure_kind kind_of(engine::error_code code) {
    using execution::failure_kind;
    switch (code) {
        case engine::error_code::connect_failed:
            return failure_kind::unreachable;
        case engine::error_code::refused_incarnation:
        case engine::error_code::refused_version:
        case engine::error_code::refused_leaving:
            return failure_kind::stale_target;
        case engine::error_code::refused_overloaded:
            return failure_kind::overloaded;
        case engine::error_code::refused_bad_request:
            return failure_kind::rejected;
        case engine::error_code::not_found:
            return failure_kind::attempt_gone;
        case engine::error_code::timed_out:
            return failure_kind::timed_out;
        case engine::error_code::failed:
            return failure_kind::engine_failure;
        case engine::error_code::refused_stale_token:
        case engine::error_code::refused_import:
        case engine::error_code::connection_lost:
        case engine::error_code::protocol_violation:
            break;
    }
    return failure_kind::broken;
}

execution::failure_proof proof_of(engine::proof proves) {
    switch (proves) {
        case engine::proof::not_sent:
            return execution::failure_proof::not_sent;
        case engine::proof::not_run:
            return execution::failure_proof::not_run;
        case engine::proof::unknown:
            break;
    }
    return execution::failure_proof::unknown;
}

struct caller_answer {
    refusal_code code;
    const char* message;
};

caller_answer answer_of(execution::refusal_reason reason) {
    using execution::refusal_reason;
    switch (reason) {
        case refusal_reason::overloaded:
            return {refusal_code::overloaded, "No engine can meet the deadline now."};
        case refusal_reason::no_engine:
            return {refusal_code::no_engine, "No engine of the pool is available."};
        case refusal_reason::deadline_exceeded:
            return {refusal_code::deadline_exceeded, "The request's deadline has passed."};
        case refusal_reason::engine_failed:
            return {refusal_code::engine_failed, "The engines failed to answer."};
        case refusal_reason::outcome_unknown:
            return {refusal_code::outcome_unknown,
                    "The request may have run; it may not be repeated."};
        case refusal_reason::rejected:
            return {refusal_code::invalid_request, "The engine can't run this request."};
        case refusal_reason::claim_in_progress:
            return {refusal_code::key_in_use, "A request with this key is at work."};
        case refusal_reason::claim_other_content:
            return {refusal_code::key_in_use, "The key was used for another request."};
        case refusal_reason::claim_unavailable:
            return {refusal_code::platform_unavailable,
                    "The request could not be recorded as claimed."};
        case refusal_reason::caller_gone:
            break;
    }
    return {refusal_code::engine_failed, "The request was abandoned."};
}

/// @return whether the same request may succeed later.
bool is_retryable(execution::refusal_reason reason) {
    return reason != execution::refusal_reason::rejected &&
           reason != execution::refusal_reason::claim_other_content;
}

}  // namespace

execution::exchange_failed to_event(execution::exchange_number exchange,
                                    const engine::error& failure) {
    return {exchange, kind_of(failure.code), proof_of(failure.proves), failure.retry_after};
}

execution::selection_failed to_event(const selection_error& failure) {
    execution::selection_failed event;
    event.problem = failure.failure == selection_failure::no_engine
                        ? execution::selection_problem::no_engine
                        : execution::selection_problem::deadline_too_near;
    if (failure.retry_after > base::duration::zero()) {
        event.retry_after = failure.retry_after;
    }
    return event;
}

refusal to_refusal(const execution::refuse& refuse_action) {
    const caller_answer answer = answer_of(refuse_action.reason);
    refusal refused{answer.code, answer.message, refuse_action.report, std::nullopt};
    if (is_retryable(refuse_action.reason)) {
        refused.retry_after = refuse_action.retry_after;
    }
    return refused;
}

}  // namespace ferryroad::router
