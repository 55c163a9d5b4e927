/// @file
/// Timeouts of calls to engines.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::engine {

/// Timeouts by kind of call.
struct tunables {
    /// For an engine to admit or refuse an attempt, including opening the connection.
    base::duration admission = std::chrono::seconds(2);
    /// From admission to the `started` event; covers the time in the engine's queue.
    base::duration start_timeout = std::chrono::seconds(60);
    /// Between two events of a started stream.
    base::duration token_timeout = std::chrono::seconds(10);
    /// For short calls: load, cancel, orders. Added to the wait time of a cache event long poll.
    base::duration control = std::chrono::seconds(2);
    /// For an import of cached state, including the transfer.
    base::duration import = std::chrono::seconds(30);
};

}  // namespace ferryroad::engine
