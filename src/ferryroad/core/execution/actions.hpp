/// @file
/// Actions that `request_execution` returns for its driver to carry out.
#pragma once

#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/core/execution/state.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace ferryroad::core::execution {

/// Claim the request's idempotency key. The driver answers with `claim_answered`.
struct claim_key {};

/// Select an engine. The driver answers with `engine_selected` or `selection_failed`.
struct select_engine {
    std::vector<base::engine_name> excluded;  ///< Engines tried before.
};

/// Send a new attempt. The driver answers with the events of `exchange`.
struct dispatch_attempt {
    exchange_number exchange;
    attempt_number attempt;
    engine_process engine;
    std::uint32_t first_token = 0;  ///< First token to generate; above 0 to continue an answer.
};

/// Resume the stream of a running attempt. The driver answers with the events of `exchange`.
struct resume_attempt {
    exchange_number exchange;
    attempt_number attempt;
    engine_process engine;
    std::uint32_t first_token = 0;  ///< Index of the first token to send.
};

/// Tell the engine to cancel an attempt. No event answers it.
struct cancel_attempt {
    attempt_number attempt;
    engine_process engine;
};

/// Forward the token just received to the caller.
struct emit_token {
    std::uint32_t index = 0;
};

/// Complete the answer. Last action towards the caller.
struct finish {
    std::uint32_t tokens = 0;
};

/// Send the caller the stored outcome from the answer to the claim. Last action towards the caller.
struct replay_outcome {};

enum class refusal_reason {
    overloaded,
    no_engine,
    deadline_exceeded,
    engine_failed,
    outcome_unknown,
    rejected,
    claim_in_progress,
    claim_other_content,
    claim_unavailable,
    caller_gone
};

/// Refuse the request or report its failure. Last action towards the caller.
struct refuse {
    refusal_reason reason{};
    execution_report report = execution_report::unknown;
    base::duration retry_after{};
};

enum class claim_settlement {
    complete,  ///< The request completed: store its answer.
    unknown,   ///< The request may have run: the key stays in use.
    release    ///< The request did not run: release the key.
};

/// Record the outcome of a claimed request. No event answers it.
struct settle_claim {
    claim_settlement settlement{};
};

using action =
    std::variant<claim_key, select_engine, dispatch_attempt, resume_attempt, cancel_attempt,
                 emit_token, finish, replay_outcome, refuse, settle_claim>;
using action_list = std::vector<action>;

}  // namespace ferryroad::core::execution
