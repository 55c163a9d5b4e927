/// @file
/// Prefix knowledge based only on what this router observed.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/heat.hpp"
#include "ferryroad/core/prefix/prefix_index.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"

namespace ferryroad::router::selection {

/// Implements `prefix_knowledge` with an index that isn't shared with other routers.
class local_prefix_knowledge final : public prefix_knowledge {
  public:
    /// @param clock must outlive the object.
    explicit local_prefix_knowledge(const base::clock& clock,
                                    core::prefix::prefix_index_settings index = {},
                                    core::prefix::heat_settings heat = {});

    runtime::task<prefix_answer> lookup(core::prefix::cache_namespace scope,
                                        core::prefix::piece_chain pieces) override;
    void report(prefix_observation observation) override;
    void report_events(const base::engine_name& engine,
                       const engine::cache_event_batch& batch) override;
    void report_incarnation(const core::prefix::engine_process& process) override;

  private:
    const base::clock& clock_;
    core::prefix::prefix_index index_;
    core::prefix::heat heat_;
};

/// Applies a batch of an engine's cache events to `index`.
void record_events(core::prefix::prefix_index& index, const base::engine_name& engine,
                   const engine::cache_event_batch& batch, base::monotonic_time now);

}  // namespace ferryroad::router::selection
