/// @file
/// What a dispatch stands on: looked at before its first byte, and again while the request waits at
/// its engine, whenever something has changed that it stands on.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/relay/begin_watch.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/request_quarantine.hpp"
#include "ferryroad/relay/selection.hpp"
#include "ferryroad/relay/waiting_requests.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <optional>
#include <vector>

namespace ferryroad::relay {

/// Where the grounds are known. All outlive the requests.
struct ground_sources {
    runtime::scheduler& scheduler;
    const engine_selection& selection;
    const policy_source& policies;
    request_quarantine* quarantine = nullptr;  ///< May be null.
    waiting_requests& waiting;
};

/// @param excluded engines that must not get the request.
/// @return what an engine for the plan's request is chosen by. The plan outlives it.
selection_query query_of(const relay_plan& plan, std::vector<base::engine_name> excluded = {});

/// Of one request, from exchange to exchange. Used from the event loop's thread; the plan and the
/// watch outlive it.
///
/// While the request waits, only two grounds are followed. The others hold on: a key counts as of
/// the sending, an engine that leaves or whose software is given up ends what it took before, an
/// engine's process takes its connections with it, and the time left has a timer of its own.
class dispatch_grounds {
  public:
    dispatch_grounds(ground_sources with, const relay_plan& plan, const begin_watch& watch)
        : m_with(with), m_plan(plan), m_watch(watch) {}

    /// @return whether the caller's key holds, as far as this router may say.
    bool key_holds() const;
    /// @return the request's quarantine, or null where it has none. The pointer holds until the
    /// next call.
    const core::quarantine::quarantined_request* quarantine() const;
    /// Engines may have ended under the request's repeats, or under this one, since it came.
    bool is_held_back() const;
    /// An exchange of the request broke, and its engine wasn't about to leave.
    void exchange_broke() { m_broke = true; }

    /// @param chosen with its place in the registry; null where that process is listed no more.
    /// @return what doesn't hold any more of what the choice stood on.
    std::optional<dispatch_ground> lost_before_sending(const selected_engine& chosen,
                                                       const known_engine* engine,
                                                       base::monotonic_time now) const;
    /// @return whether `until_lost` may end while the request waits.
    bool can_be_lost() const;
    /// Ends when the request must not begin any more at the engine that it waits at.
    /// @return the ground that went.
    runtime::task<dispatch_ground> until_lost() const;

  private:
    ground_sources m_with;
    const relay_plan& m_plan;
    const begin_watch& m_watch;
    bool m_broke = false;
};

}  // namespace ferryroad::relay
