/// @file
/// Adapter from the back-end service's cache events to the prefix knowledge.
#pragma once

#include "ferryroad/router/backends/cache_event_sink.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"

namespace ferryroad::router::selection {

/// Forwards engines' cache events to a `prefix_knowledge`.
class cache_event_adapter final : public backends::cache_event_sink {
  public:
    /// @param knowledge must outlive the adapter.
    explicit cache_event_adapter(prefix_knowledge& knowledge) : knowledge_(knowledge) {}

    void accept(const base::engine_name& engine, const engine::cache_event_batch& batch) override {
        knowledge_.report_events(engine, batch);
    }

  private:
    prefix_knowledge& knowledge_;
};

}  // namespace ferryroad::router::selection
