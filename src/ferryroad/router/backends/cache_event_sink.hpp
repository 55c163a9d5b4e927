/// @file
/// Interface to the consumer of engines' cache events.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"

namespace ferryroad::router::backends {

/// Receives the cache events of the engines that this router reads on behalf of all routers.
/// Used from the event loop's thread only.
class cache_event_sink {
  public:
    virtual ~cache_event_sink() = default;
    /// Accepts the next batch of an engine's events. Batches of one engine arrive in sequence
    /// order. If `batch.gap` is set or the incarnation differs from the previous batch's,
    /// everything known about the engine's cache is invalid.
    virtual void accept(const base::engine_name& engine,
                        const engine::cache_event_batch& batch) = 0;
};

}  // namespace ferryroad::router::backends
