/// @file
/// What can happen to a request while it is executed.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace ferryroad::core::execution {

/// Counts a request's attempts, from 1.
using attempt_number = base::strong_id<struct attempt_number_tag, std::uint32_t>;
/// Counts a request's exchanges with engines, from 1: each dispatch and each resume is one.
using exchange_number = base::strong_id<struct exchange_number_tag, std::uint32_t>;

/// The one process that an attempt was meant for.
struct engine_process {
    base::engine_name name;
    base::incarnation incarnation;

    friend bool operator==(const engine_process&, const engine_process&) = default;
};

enum class claim_decision { granted, finished, in_progress, other_content, unavailable };

/// Answer to `action::claim`.
struct claim_answered {
    claim_decision decision{};
    std::optional<base::duration> retry_after;
};

/// Answer to `action::select`.
struct engine_selected {
    engine_process engine;
};

enum class selection_problem { no_engine, deadline_too_near };

/// Answer to `action::select`.
struct selection_failed {
    selection_problem problem{};
    std::optional<base::duration> retry_after;
};

/// The engine has taken the attempt.
struct exchange_started {
    exchange_number exchange;
};

struct token_received {
    exchange_number exchange;
    std::uint32_t index = 0;  ///< From 0 within the whole answer.
};

/// The engine proved the answer whole.
struct exchange_ended {
    exchange_number exchange;
    std::uint32_t tokens = 0;  ///< Of the whole answer; 0 for answers that are no token stream.
};

enum class failure_kind {
    unreachable,     ///< No connection.
    stale_target,    ///< Another incarnation or version than expected, or leaving.
    overloaded,      ///< The engine's queue is full.
    rejected,        ///< No engine can ever run it.
    attempt_gone,    ///< The engine no longer holds the attempt to resume.
    broken,          ///< The connection broke, or the answer made no sense.
    timed_out,       ///< Nothing came in time.
    engine_failure,  ///< The engine ran it and failed.
    withheld         ///< Not sent after all: what the choice of the engine stood on had ended.
};

/// What a failure proves of the exchange's request.
enum class failure_proof { not_sent, not_run, unknown };

struct exchange_failed {
    exchange_number exchange;
    failure_kind kind{};
    failure_proof proof = failure_proof::unknown;
    std::optional<base::duration> retry_after;
};

/// Nobody waits for the answer any more.
struct caller_gone {};

/// The caller's deadline has passed.
struct deadline_passed {};

using event =
    std::variant<claim_answered, engine_selected, selection_failed, exchange_started,
                 token_received, exchange_ended, exchange_failed, caller_gone, deadline_passed>;

}  // namespace ferryroad::core::execution
