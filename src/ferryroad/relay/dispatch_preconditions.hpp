/// @file
/// Preconditions of a dispatch. They are checked before its first byte is sent, and some of them
/// again whenever they may have changed while the request waits at its engine.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/exchange_timing.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/relay/selection.hpp"
#include "ferryroad/relay/waiting_requests.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace ferryroad::relay {

/// The components that the preconditions are read from. All must outlive the requests.
struct precondition_sources {
    runtime::scheduler& scheduler;
    const engine_selection& selection;
    const policy_source& policies;
    request_quarantine* quarantine = nullptr;  ///< May be null.
    waiting_requests& waiting;
};

/// @param excluded engines that must not be selected.
/// @return the query that selects an engine for the plan's request. It refers to the plan, which
/// must outlive it.
selection_query query_of(const relay_plan& plan, std::vector<base::engine_name> excluded = {});

/// Checks the preconditions of one request's successive exchanges. Used from the event loop's
/// thread; the plan and the timing must outlive it.
///
/// While the request waits at an engine, only its quarantine, the age of the engine's weights and
/// the state that it is to fetch are monitored; while its stream runs there, the state that it
/// stores or may fetch again. The other preconditions need no check after sending: the key is only
/// required to be valid when the request is sent, an engine that is shutting down or whose software
/// is being replaced completes the requests it accepted before, a process that terminates closes
/// its connections, and the deadline has a timer of its own.
class dispatch_preconditions {
  public:
    dispatch_preconditions(precondition_sources sources, const relay_plan& plan,
                           const exchange_timing& timing)
        : m_sources(sources), m_plan(plan), m_timing(timing) {}

    /// @return whether the caller's API key is valid by a sufficiently fresh policy.
    bool key_is_valid() const;
    /// @return until when the request is in quarantine, itself or for a part of its prompt; nothing
    /// if it is not.
    std::optional<base::monotonic_time> quarantined_until() const;
    /// @return whether the request must not be sent because engines crashed while running it or its
    /// repeats. This may change after the request has arrived.
    bool is_held_back() const;
    /// Records that an exchange of the request broke at an engine that was not shutting down.
    void exchange_broke() { m_broke = true; }

    /// @param chosen the selected engine.
    /// @param engine its registry entry, or null if its process is no longer registered.
    /// @return the first precondition that no longer holds, or nothing if all hold.
    std::optional<dispatch_precondition> lost_before_sending(const selected_engine& chosen,
                                                             const known_engine* engine,
                                                             base::monotonic_time now) const;
    /// @param chosen the engine that the request was sent to.
    /// @return whether the request waits and `until_lost` may complete.
    bool can_be_lost(const selected_engine& chosen) const;
    /// Completes when the request must no longer begin at the engine where it waits; otherwise runs
    /// until cancelled.
    /// @param chosen the engine that the request was sent to; must outlive the coroutine.
    /// @return the precondition that was lost.
    runtime::task<dispatch_precondition> until_lost(const selected_engine& chosen) const;

    /// @return whether the request's stream, which has begun at the engine, may have to be
    /// continued at another one because of the state that it stores or fetches.
    bool watches_running_state(const selected_engine& chosen) const;
    /// Completes when a stream that has begun must be continued at another engine because of its
    /// state; otherwise runs until cancelled.
    /// @param chosen the engine that runs the stream; must outlive the coroutine.
    /// @param last_event_at when the stream's last event was received.
    /// @param may_continue whether the stream can be continued elsewhere now; must outlive the
    /// coroutine.
    /// @return the precondition that was lost.
    runtime::task<dispatch_precondition> until_running_state_lost(
        const selected_engine& chosen, base::monotonic_time last_event_at,
        const std::function<bool()>& may_continue) const;

  private:
    /// @return whether the request is withdrawn when the state that it is to fetch is outdated.
    static bool watches_state(const selected_engine& chosen);
    /// @return whether a running stream may store state of other weights under its scope, or seems
    /// to have been preempted and may fetch such state when it is read again.
    bool has_outdated_running_state(const selected_engine& chosen,
                                    base::monotonic_time last_event_at,
                                    base::monotonic_time now) const;

    precondition_sources m_sources;
    const relay_plan& m_plan;
    const exchange_timing& m_timing;
    bool m_broke = false;  ///< An exchange of the request broke.
};

}  // namespace ferryroad::relay
