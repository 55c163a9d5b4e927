/// @file
/// Settings of request admission and execution.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/tunables.hpp"

#include <cstddef>

namespace ferryroad::router {

/// Settings of `fair_admission`.
struct admission_limits {
    /// Largest number of requests that this router runs at once for each available engine of a
    /// pool. Further requests wait in the router's queue, which respects priority and fairness,
    /// rather than in the engine's.
    std::size_t max_requests_per_engine = 32;
};

/// Settings of `routing_request_service`.
struct request_tunables {
    core::execution::tunables execution;
    /// Retry time for callers while this router isn't ready.
    base::duration not_ready_retry_after = std::chrono::seconds(2);
    /// How often an attempt that waits for its start checks whether its engine is suspected.
    base::duration suspicion_poll_interval = std::chrono::milliseconds(100);
    /// Timeout for importing warm state from another engine; afterwards the prompt is recomputed.
    base::duration import_timeout = std::chrono::seconds(2);
    /// How often a graceful shutdown checks whether claimed requests have ended.
    base::duration drain_poll_interval = std::chrono::milliseconds(50);
    /// Largest answer body recorded for callers that repeat a key, in bytes.
    std::size_t max_recorded_body_bytes = std::size_t{256} * 1024;
};

}  // namespace ferryroad::router
