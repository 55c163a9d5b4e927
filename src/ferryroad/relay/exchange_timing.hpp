/// @file
/// Timing of one exchange with an engine: the time by which the request must have begun there, how
/// long the engine may work on it, and how long both took, as input to later engine selections.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/selection.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// Tracks a request's successive exchanges. A request begins when the engine sends its first event;
/// until then it waits. Used from the event loop's thread; the constructor's arguments must outlive
/// it.
class exchange_timing {
  public:
    exchange_timing(engine_selection& selection, const policy_source& policies,
                    const relay_plan& plan)
        : m_selection(selection), m_policies(policies), m_plan(plan) {}

    /// Starts a new exchange: the request is about to be sent to the selected engine.
    void sent(const selected_engine& chosen, base::monotonic_time now);
    /// Records the first event. @param version of the engine's weights, if it reported one.
    /// @return how long ago newer weights were announced; nothing if the engine has the newest.
    std::optional<base::duration> begun(const std::optional<std::uint64_t>& version,
                                        base::monotonic_time now);
    /// Records the head of a non-streaming answer, which shows that the request has begun. It does
    /// not show when, as some engines send the head only once the answer is complete.
    void answered(base::monotonic_time now) { m_first_event_at = now; }
    /// Records that the answer is complete.
    void ended(base::monotonic_time now);
    /// Records that the request will not begin at the engine: the router withdrew it, or the engine
    /// refused it because its time had run out.
    void withdrawn(base::monotonic_time now);

    /// @return whether the request waits at the engine, i.e. the answer does not show yet that it
    /// has begun.
    bool is_waiting() const { return !m_first_event_at; }
    /// @return whether the request still waits at the engine although it must not begin there any
    /// more.
    bool may_no_longer_begin(base::monotonic_time now) const;
    /// @param silence limit that applies unless the request must begin sooner.
    /// @param refusal_wait time allowed for the engine to report that it has not run the request.
    /// @return how long to wait for the next part of the answer.
    base::duration wait_limit(base::duration silence, base::duration refusal_wait,
                              base::monotonic_time now) const;
    /// @return whether newer weights announced in the future may end the wait sooner than
    /// `wait_limit`: the engine has the newest weights and was not given a time to stop.
    bool can_become_outdated() const;
    /// @return when to check next whether the request may still begin, by the weights announced so
    /// far; later than `now` while it may.
    base::monotonic_time next_check(base::monotonic_time now) const;
    /// @return how long the engine may work on the request, including its wait there; zero or
    /// negative if no time is left.
    base::duration time_for_engine(base::monotonic_time now) const;
    /// @return the time since the request was sent.
    base::duration since_sent(base::monotonic_time now) const { return now - m_sent_at; }

  private:
    /// @return when the request must have begun, by all weights announced so far, including since
    /// the engine was selected; nothing if it may begin at any time.
    std::optional<base::monotonic_time> begin_by() const;

    engine_selection& m_selection;
    const policy_source& m_policies;
    const relay_plan& m_plan;
    core::placement::expected_work m_work;
    std::optional<std::uint64_t> m_expected_version;
    std::optional<base::monotonic_time> m_stop_by;
    base::monotonic_time m_sent_at{};
    std::optional<base::monotonic_time> m_first_event_at;
};

}  // namespace ferryroad::relay
