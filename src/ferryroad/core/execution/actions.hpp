/// @file
/// What a request's execution asks of whoever drives it.
#pragma once

#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/core/execution/state.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace ferryroad::core::execution {

/// Record a claim on the request's key; answered by `claim_answered`.
struct claim_key {};

/// Choose an engine; answered by `engine_selected` or `selection_failed`.
struct select_engine {
    std::vector<base::engine_name> excluded;  ///< Tried already.
};

/// Send a new attempt; answered by the events of `exchange`.
struct dispatch_attempt {
    exchange_number exchange;
    attempt_number attempt;
    engine_process engine;
    std::uint32_t first_token = 0;  ///< Above 0: continue after the tokens already emitted.
};

/// Take up the stream of a live attempt again; answered by the events of `exchange`.
struct resume_attempt {
    exchange_number exchange;
    attempt_number attempt;
    engine_process engine;
    std::uint32_t first_token = 0;
};

/// Tell the engine to end an attempt. Nobody waits for an answer.
struct cancel_attempt {
    attempt_number attempt;
    engine_process engine;
};

/// Pass the token just received on to the caller.
struct emit_token {
    std::uint32_t index = 0;
};

/// The answer is whole. Last action to the caller.
struct finish {
    std::uint32_t tokens = 0;
};

/// Give the caller the outcome that the claim answer brought. Last action to the caller.
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

/// Give up and say so at once. Last action to the caller.
struct refuse {
    refusal_reason reason{};
    execution_report report = execution_report::unknown;
    base::duration retry_after{};
};

enum class claim_settlement {
    complete,  ///< Record the answer.
    unknown,   ///< It may have run: the key stays closed.
    release    ///< It never ran: free the key.
};

/// Write the end of a claimed request to its record. Nobody waits for an answer.
struct settle_claim {
    claim_settlement settlement{};
};

using action =
    std::variant<claim_key, select_engine, dispatch_attempt, resume_attempt, cancel_attempt,
                 emit_token, finish, replay_outcome, refuse, settle_claim>;
using action_list = std::vector<action>;

}  // namespace ferryroad::core::execution
