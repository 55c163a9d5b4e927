/// @file
/// Graceful shutdown behind a load balancer that takes a while to notice that this router stops.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>

namespace ferryroad::relay {

/// Timing of a planned stop.
struct stop_settings {
    base::duration grace{};  ///< Until the process is killed.
    /// Time for the load balancer to notice; requests are served as usual meanwhile. At most a
    /// third of the grace is used.
    base::duration notice = std::chrono::milliseconds(2700);
    /// Requests in progress are ended this long before the grace ends.
    base::duration margin = std::chrono::milliseconds(400);
    /// Longest time for the responses to these requests to be written; less than the margin.
    base::duration last_responses = std::chrono::milliseconds(200);
};

/// What a planned stop does with requests. All are called at most once.
struct stop_actions {
    /// The stop begins. The argument is when requests in progress will be ended.
    std::function<void(base::monotonic_time)> begin;
    /// Refuses new requests from now on.
    std::function<void()> refuse_new;
    /// Ends the requests that are in progress, each with a response.
    std::function<void()> end_requests;
};

/// From now on, closes each connection after its current response. After the notice, refuses new
/// requests and accepts no further connections. When only the margin is left of the grace, ends the
/// requests that are still in progress. Returns once all requests have completed, or when the time
/// for the last responses is over. The scheduler and the server must outlive the coroutine.
/// @param actions must all be set.
runtime::task<void> planned_stop(runtime::scheduler& scheduler, http::server& callers,
                                 stop_settings settings, stop_actions actions);

/// Drains a server, see `http::server::drain`. Returns once that has completed, or at `last`. Both
/// must outlive the coroutine.
runtime::task<void> drain_until(runtime::scheduler& scheduler, http::server& server,
                                base::monotonic_time last);

/// @return the server limits that the traffic policy declares for callers.
http::server_limits server_limits_of(const core::traffic::caller_limits& declared);

}  // namespace ferryroad::relay
