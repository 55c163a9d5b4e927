/// @file
/// Where the cache events of engines go that this router reads for all routers.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"

namespace ferryroad::router::backends {

/// Implemented by the prefix index. Used from the event loop's thread.
class cache_event_sink {
  public:
    virtual ~cache_event_sink() = default;
    /// Batches of one engine come in the order of their sequence. `batch.gap`, or an
    /// incarnation other than before, voids what was known of the engine's cache.
    virtual void accept(const base::engine_name& engine,
                        const engine::cache_event_batch& batch) = 0;
};

}  // namespace ferryroad::router::backends
