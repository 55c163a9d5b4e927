/// @file
/// Execution of one request over one or more attempts: what to do next, and what is known.
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

/// What the request's route and kind allow.
struct execution_rules {
    bool repeatable = true;
    bool claimed = false;  ///< A claim on the request's key goes before any dispatch.
    bool streamed = true;  ///< The answer is numbered tokens and can be resumed.
    base::monotonic_time deadline{};
};

/// One try of the request on one engine.
struct attempt_record {
    attempt_number number;
    engine_process engine;
    attempt_state state = attempt_state::not_sent;
    bool started = false;
    std::uint32_t resumes = 0;  ///< Since its last token.
};

/// State machine of one request. Pure: time comes with each event, and the retry budget,
/// shared by the requests of a route and tenant, is borrowed for the call.
///
/// It holds in any order of events that
/// - tokens are emitted once each, from 0 on without gap, and `finish` only follows an
///   engine's proof that the answer is whole;
/// - `not_run` is reported only if every attempt is not sent or proven not run;
/// - a request that may not be repeated has at most one attempt that isn't proven not run;
/// - exactly one of `finish`, `replay_outcome` and `refuse` is given, at the end;
/// - answers of ended and foreign exchanges change nothing but `dropped()`.
class request_execution {
  public:
    explicit request_execution(execution_rules rules, tunables limits = {});

    /// Called once, first.
    action_list begin(base::monotonic_time now);

    /// @param budget of the request's route and tenant.
    /// @return what to do, in order; empty where the event changes nothing.
    action_list handle(const event& happened, base::monotonic_time now,
                       admission::retry_allowance& budget);

    bool ended() const { return phase_ == phase::ended; }
    /// @return what a caller may be told if the request were given up on now.
    execution_report report() const;
    /// @return answers dropped, because their exchange was over or never was.
    std::uint32_t dropped() const { return dropped_; }
    std::uint32_t emitted_tokens() const { return next_token_; }
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
    action_list drop();
    action_list select();
    void record_failure(attempt_record& attempt, const exchange_failed& failed) const;
    bool may_resume(const attempt_record& attempt, failure_kind kind) const;
    action_list resume(attempt_record& attempt);
    bool may_retry(const exchange_failed& failed, context& at);
    action_list retry();
    action_list give_up(const exchange_failed& failed);
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
    bool retry_paid_ = false;  ///< The budget paid for a retry that wasn't sent yet.
    std::uint32_t dropped_ = 0;
};

}  // namespace ferryroad::core::execution
