/// @file
/// A planned stop behind a balancer that needs a while to see that this router leaves.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

namespace ferryroad::relay {

struct stop_settings {
    base::duration grace{};  ///< Until the process is killed.
    /// Time in which the balancer sees it; connections are accepted all that while.
    base::duration notice = std::chrono::milliseconds(3500);
    /// Kept back before the grace ends.
    base::duration margin = std::chrono::milliseconds(400);
};

/// Ends every answer's connection from now on, stops accepting after the notice, and returns
/// once the last request has ended or the grace is nearly over.
runtime::task<void> planned_stop(runtime::scheduler& scheduler, http::server& callers,
                                 stop_settings settings);

/// @return a server's limits as operators declared them.
http::server_limits server_limits_of(const core::traffic::caller_limits& declared);

}  // namespace ferryroad::relay
