/// @file
/// The time of one exchange with an engine: until when its request must have begun there, how long
/// the engine may work at it, and what both took, for the choices after it.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/selection.hpp"

#include <cstdint>
#include <optional>

namespace ferryroad::relay {

/// Follows a request's exchanges one after the other. Used from the event loop's thread; what it is
/// made with outlives it.
class begin_watch {
  public:
    begin_watch(engine_selection& selection, const policy_source& policies, const relay_plan& plan)
        : m_selection(selection), m_policies(policies), m_plan(plan) {}

    /// The request is about to be sent to the engine chosen.
    void sent(const selected_engine& chosen, base::monotonic_time now);
    /// The first event came. @param version of the engine's weights, where it said one.
    /// @return how long newer weights had been named; nothing where it has the newest.
    std::optional<base::duration> begun(const std::optional<std::uint64_t>& version,
                                        base::monotonic_time now);
    /// The head of an answer that is no stream came, so that the request has begun. Some engines
    /// send it with the answer's end: it says nothing of when.
    void answered(base::monotonic_time now) { m_first_event_at = now; }
    /// The answer ended as the engine meant it to.
    void ended(base::monotonic_time now);
    /// The request will not begin there any more: it was withdrawn, or refused for want of time.
    void withdrawn(base::monotonic_time now);

    /// @return whether the engine hasn't begun with the request, as far as its answer shows.
    bool waits() const { return !m_first_event_at; }
    /// @return whether the request still waits at the engine, and may no longer begin there.
    bool may_no_longer_begin(base::monotonic_time now) const;
    /// @param silence how long the engine may be silent otherwise.
    /// @param refusal_wait for the engine's own word that it has not run the request.
    /// @return how long to wait for what comes next.
    base::duration patience(base::duration silence, base::duration refusal_wait,
                            base::monotonic_time now) const;
    /// @return whether a naming to come may end the wait sooner than `patience` says: the engine
    /// has the newest weights, and isn't told an end.
    bool depends_on_namings() const;
    /// @return when to look next whether the request may still begin, by what has been named until
    /// now; after `now` while it may.
    base::monotonic_time next_look(base::monotonic_time now) const;
    /// @return how long the engine may work at the request, its wait there included; not above 0
    /// where no time is left.
    base::duration time_for_engine(base::monotonic_time now) const;
    /// @return since the request was sent.
    base::duration since_sent(base::monotonic_time now) const { return now - m_sent_at; }

  private:
    /// By all that has been named until now, also since the engine was chosen.
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
