/// @file
/// Limits of serving requests, in one place.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/tunables.hpp"

#include <cstddef>

namespace ferryroad::router {

struct admission_limits {
    /// Requests that this router keeps at work for each live engine of a pool; more wait here,
    /// where priority and fairness hold, and not in the engine.
    std::size_t places_per_engine = 32;
};

struct request_tunables {
    core::execution::tunables execution;
    /// When a caller should come back to a router that isn't ready.
    base::duration not_ready_retry = std::chrono::seconds(2);
    /// How often an attempt that waits to start looks whether its engine still answers anyone.
    base::duration suspicion_poll = std::chrono::milliseconds(100);
    /// Longest wait for warm state from another engine before computing it anew.
    base::duration import_wait = std::chrono::seconds(2);
    /// How often a planned stop looks whether claimed requests have ended.
    base::duration drain_poll = std::chrono::milliseconds(50);
    /// Longest answer kept for callers that repeat a key.
    std::size_t recorded_body_bytes = std::size_t{256} * 1024;
};

}  // namespace ferryroad::router
