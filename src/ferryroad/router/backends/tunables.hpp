/// @file
/// Intervals, timeouts and limits of discovering and polling back ends.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::router::backends {

/// Settings of `backend_directory` and `backend_service`.
struct tunables {
    /// Time between two reads of the machine list, before jitter.
    base::duration list_interval = std::chrono::seconds(2);
    /// Largest random deviation of that time, as a fraction of it.
    double list_jitter = 0.25;
    /// Longest pause between reads while reading the machine list fails.
    base::duration list_backoff_limit = std::chrono::seconds(10);
    /// An engine that has been missing from the machine list for this long gets no new work.
    base::duration missing_timeout = std::chrono::seconds(3);
    /// The record of an engine that has been missing for this long is removed.
    base::duration removal_timeout = std::chrono::minutes(10);
    /// How long a "leaving" report outweighs contrary ones about the same process. A machine
    /// list that shows the engine as live counts after this time; the engine's own "not
    /// leaving" counts if the load request was sent at least this long after the report.
    base::duration leaving_hold_down = std::chrono::seconds(5);
    /// An engine whose load was reported within this time is not polled.
    base::duration poll_interval = std::chrono::milliseconds(500);
    /// Rate limit of load requests to all engines together, per second.
    double polls_per_second = 20;
    /// Most load requests in flight, and largest burst after an idle period.
    std::uint32_t max_polls_in_flight = 64;
    /// First pause between polls of an engine that doesn't answer; doubles with each failure.
    base::duration poll_backoff = std::chrono::milliseconds(250);
    /// Longest pause between polls of an engine that doesn't answer.
    base::duration poll_backoff_limit = std::chrono::seconds(4);
    /// Consecutive failed exchanges after which an engine is suspected. A failure to connect
    /// makes it suspected at once.
    std::uint32_t suspicion_threshold = 2;
    /// How long a request for cache events waits for new events (long poll).
    base::duration event_wait = std::chrono::seconds(10);
    /// Pause after a failed request for cache events.
    base::duration event_backoff = std::chrono::milliseconds(500);
    /// How often the service checks which engines' cache events this router has to read.
    base::duration ownership_interval = std::chrono::seconds(1);
};

}  // namespace ferryroad::router::backends
