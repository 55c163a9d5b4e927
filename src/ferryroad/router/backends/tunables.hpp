/// @file
/// How often a router asks about the back ends, and how long it believes what it heard.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::router::backends {

struct tunables {
    /// Between two readings of the machine list, give or take `list_jitter`.
    base::duration list_interval = std::chrono::seconds(2);
    double list_jitter = 0.25;
    /// Longest pause between readings while the list can't be had.
    base::duration list_backoff_limit = std::chrono::seconds(10);
    /// An engine missing from every list for so long gets no new work.
    base::duration missing_hold = std::chrono::seconds(3);
    /// An engine missing for so long is forgotten.
    base::duration forget_after = std::chrono::minutes(10);
    /// A list that says "live" again of the same process is believed after so long; an engine's
    /// own "not leaving" is believed if asked for so long after the "leaving".
    base::duration leaving_hold = std::chrono::seconds(5);
    /// Engines whose load was heard within this time are not asked.
    base::duration poll_interval = std::chrono::milliseconds(500);
    /// Load requests a second to all engines together.
    double polls_per_second = 20;
    std::uint32_t polls_at_once = 64;  ///< And after a pause.
    /// Between polls of an engine that doesn't answer: doubled from the first to the last.
    base::duration poll_backoff = std::chrono::milliseconds(250);
    base::duration poll_backoff_limit = std::chrono::seconds(4);
    /// Failed exchanges in a row that make an engine suspected; a refused connection is enough.
    std::uint32_t failures_to_suspect = 2;
    /// One request for cache events waits so long for something new.
    base::duration event_wait = std::chrono::seconds(10);
    base::duration event_backoff = std::chrono::milliseconds(500);
    /// Between two looks at which engines' events are this router's to read.
    base::duration ownership_interval = std::chrono::seconds(1);
};

}  // namespace ferryroad::router::backends
