/// @file
/// Limits of exchanges with engines.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::engine {

struct tunables {
    /// For an engine to admit or refuse an attempt, connection included.
    base::duration admission = std::chrono::seconds(2);
    /// For an admitted attempt to start: it may queue.
    base::duration start_silence = std::chrono::seconds(60);
    /// Between two events of a stream that has started.
    base::duration token_silence = std::chrono::seconds(10);
    /// For short calls: load, cancel, orders; added to the wait for events.
    base::duration control = std::chrono::seconds(2);
    /// For an import of warm state, transfer included.
    base::duration import = std::chrono::seconds(30);
};

}  // namespace ferryroad::engine
