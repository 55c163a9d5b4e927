/// @file
/// Input events of `request_execution`.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace ferryroad::core::execution {

/// Number of an attempt within its request, from 1.
using attempt_number = base::strong_id<struct attempt_number_tag, std::uint32_t>;
/// Number of an exchange with an engine within its request, from 1. Each dispatch and each resume
/// is one exchange.
using exchange_number = base::strong_id<struct exchange_number_tag, std::uint32_t>;

/// The engine process that an attempt is addressed to.
struct engine_process {
    base::engine_name name;
    base::incarnation incarnation;

    friend bool operator==(const engine_process&, const engine_process&) = default;
};

enum class claim_decision { granted, finished, in_progress, other_content, unavailable };

/// Answer to `claim_key`.
struct claim_answered {
    claim_decision decision{};
    std::optional<base::duration> retry_after;
};

/// Answer to `select_engine`.
struct engine_selected {
    engine_process engine;
};

enum class selection_problem { no_engine, deadline_too_near };

/// Answer to `select_engine`.
struct selection_failed {
    selection_problem problem{};
    std::optional<base::duration> retry_after;
};

/// The engine has accepted the attempt.
struct exchange_started {
    exchange_number exchange;
};

struct token_received {
    exchange_number exchange;
    std::uint32_t index = 0;  ///< Index within the whole answer, from 0.
};

/// The engine confirmed that the answer is complete.
struct exchange_ended {
    exchange_number exchange;
    std::uint32_t tokens = 0;  ///< Tokens in the whole answer; 0 if it is not a token stream.
};

enum class failure_kind {
    unreachable,   ///< No connection could be opened.
    stale_target,  ///< The engine has another incarnation or version than expected, or is leaving.
    overloaded,    ///< The engine's queue is full.
    rejected,      ///< The request is invalid for every engine.
    attempt_gone,  ///< The engine no longer has the attempt to resume.
    broken,        ///< The connection was lost, or the answer was malformed.
    timed_out,     ///< No data arrived in time.
    engine_failure,  ///< The engine ran the request and failed.
    withheld         ///< Not sent, because the basis for selecting the engine was no longer valid.
};

/// What a failure proves about the request of its exchange.
enum class failure_proof { not_sent, not_run, unknown };

/// @return the proof's name for logs. Thread-safe.
constexpr std::string_view to_string(failure_proof proof) {
    switch (proof) {
        case failure_proof::not_sent:
            return "not_sent";
        case failure_proof::not_run:
            return "not_run";
        case failure_proof::unknown:
            break;
    }
    return "unknown";
}

struct exchange_failed {
    exchange_number exchange;
    failure_kind kind{};
    failure_proof proof = failure_proof::unknown;
    std::optional<base::duration> retry_after;
};

/// The caller has disconnected.
struct caller_gone {};

/// The caller's deadline has passed.
struct deadline_passed {};

using event =
    std::variant<claim_answered, engine_selected, selection_failed, exchange_started,
                 token_received, exchange_ended, exchange_failed, caller_gone, deadline_passed>;

}  // namespace ferryroad::core::execution
