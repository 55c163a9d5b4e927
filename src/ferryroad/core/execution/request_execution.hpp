/// @file
/// State machine that executes one request in one or more attempts.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/admission/retry_allowance.hpp"
#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/core/execution/events.hpp"
#include "ferryroad/core/execution/state.hpp"
#include "ferryroad/core/execution/tunables.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::core::execution {

/// Rules for a request, derived from its route and kind.
struct execution_rules {
    bool repeatable = true;  ///< Whether the request may run more than once.
    bool claimed = false;    ///< Whether the request's key must be claimed before any dispatch.
    bool streamed = true;    ///< Whether the answer is numbered tokens and can be resumed.
    base::monotonic_time deadline{};
};

/// One attempt to run the request on one engine.
struct attempt_record {
    attempt_number number;
    engine_process engine;
    attempt_state state = attempt_state::not_sent;
    bool started = false;
    std::uint32_t resumes = 0;  ///< Resumes since its last token.
};

/// State machine of one request. It does no I/O and reads no clock: the time comes with each event,
/// and the retry budget, shared by the requests of a route and tenant, is passed to each call. Not
/// thread-safe.
///
/// Invariants, for any order of events:
/// - each token is emitted once, from 0 without gaps, and `finish` is returned only after an engine
///   confirmed that the answer is complete;
/// - `not_run` is reported only if every attempt is not sent or proven not run;
/// - a request that must not be repeated has at most one attempt that is not proven not run;
/// - exactly one of `finish`, `replay_outcome` and `refuse` is returned, at the end;
/// - events of ended or unknown exchanges have no effect except on `dropped()`.
class request_execution {
  public:
    explicit request_execution(execution_rules rules, tunables limits = {});

    /// Starts the execution. To be called once, before `handle`.
    action_list begin(base::monotonic_time now);

    /// Processes an event.
    /// @param budget retry budget of the request's route and tenant.
    /// @return the actions to carry out, in order; empty if there is nothing to do.
    action_list handle(const event& happened, base::monotonic_time now,
                       admission::retry_allowance& budget);

    bool ended() const { return phase_ == phase::ended; }
    /// @return what the caller would be told about the execution if the request failed now.
    execution_report report() const;
    /// @return the number of events dropped because they were unexpected or their exchange had
    /// ended or was unknown.
    std::uint32_t dropped() const { return dropped_; }
    std::uint32_t emitted_tokens() const { return next_token_; }
    /// @return whether the next attempt may be cancelled after it was sent, and the request be sent
    /// once more; the retry budget may still refuse that.
    bool may_repeat_next_attempt() const;
    const std::vector<attempt_record>& attempts() const { return attempts_; }

  private:
    enum class phase { idle, claiming, selecting, exchanging, ended };

    struct context {
        base::monotonic_time now;
        admission::retry_allowance& budget;
    };

    action_list on(const claim_answered& answer, context& at);
    action_list on(const engine_selected& selected, context& at);
    action_list on(const selection_failed& failed, context& at);
    action_list on(const exchange_started& started, context& at);
    action_list on(const token_received& token, context& at);
    action_list on(const exchange_ended& ended, context& at);
    action_list on(const exchange_failed& failed, context& at);
    action_list on(const caller_gone& gone, context& at);
    action_list on(const deadline_passed& passed, context& at);

    bool is_current(exchange_number exchange);
    action_list drop_event();
    action_list select();
    void record_failure(attempt_record& attempt, const exchange_failed& failed) const;
    bool may_resume(const attempt_record& attempt, failure_kind kind) const;
    action_list resume(attempt_record& attempt);
    bool may_retry(const exchange_failed& failed, context& at);
    /// @return the number of attempts that ran or may have run.
    std::size_t executions() const;
    action_list retry();
    action_list fail(const exchange_failed& failed);
    action_list end_with_refusal(refusal_reason reason, std::optional<base::duration> retry_after);
    void cancel_live_attempt(action_list& actions);
    void settle(action_list& actions);

    execution_rules rules_;
    tunables limits_;
    phase phase_ = phase::idle;
    bool holds_claim_ = false;
    std::vector<attempt_record> attempts_;
    exchange_number last_exchange_;
    std::uint32_t next_token_ = 0;
    std::uint32_t overloaded_refusals_ = 0;
    bool retry_charged_ = false;  ///< The budget was charged for a retry that is not sent yet.
    std::uint32_t dropped_ = 0;
};

}  // namespace ferryroad::core::execution
