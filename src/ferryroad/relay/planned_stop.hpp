/// @file
/// A planned stop behind a balancer that needs a while to see that this router leaves.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <functional>

namespace ferryroad::relay {

struct stop_settings {
    base::duration grace{};  ///< Until the process is killed.
    /// Time in which the balancer sees it; requests are served as ever all that while.
    base::duration notice = std::chrono::milliseconds(2700);
    /// Kept back before the grace ends.
    base::duration margin = std::chrono::milliseconds(250);
};

/// Ends every answer's connection from now on. After the notice, `refuse_new` is called and no
/// connection accepted. Returns once the last request has ended or the grace is nearly over.
runtime::task<void> planned_stop(runtime::scheduler& scheduler, http::server& callers,
                                 stop_settings settings, std::function<void()> refuse_new);

/// @return a server's limits as operators declared them.
http::server_limits server_limits_of(const core::traffic::caller_limits& declared);

}  // namespace ferryroad::relay
