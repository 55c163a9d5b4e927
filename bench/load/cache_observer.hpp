/// @file
/// Follows the engines' event streams during a run and keeps the history of their caches.
#pragma once

#include "bench/load/cache_history.hpp"
#include "bench/load/endpoints.hpp"
#include "ferryroad/engine/client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <vector>

namespace ferryroad::bench::load {

/// Reads the events of all model engines until the loop ends. Used from the event loop's
/// thread; lives until the loop has ended.
class cache_observer {
  public:
    /// @param scheduler and `client` outlive the observer.
    /// @param start of the run: times count from it.
    cache_observer(runtime::scheduler& scheduler, engine::client& client,
                   base::monotonic_time start);

    /// @param engines of which the model engines are followed, by their place in the list.
    void start(const std::vector<engine_entry>& engines);

    const cache_history& history() const { return history_; }

  private:
    runtime::task<void> follow(std::size_t place, base::endpoint address);
    void accept(std::size_t place, const engine::cache_event_batch& batch);
    double now() const;

    runtime::scheduler& scheduler_;
    engine::client& client_;
    base::monotonic_time start_;
    cache_history history_;
};

}  // namespace ferryroad::bench::load
