/// @file
/// Engine selector that combines the engine directory, the prefix knowledge and a policy.
#pragma once

#include "ferryroad/core/routing/import_limiter.hpp"
#include "ferryroad/core/routing/policy.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/selection/decision_log.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"
#include "ferryroad/router/selection/tunables.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <memory>

namespace ferryroad::router::selection {

/// Counters of decisions and of the accuracy of their cache estimates, for metrics. Cached pieces
/// are counted from the engines' answers.
struct selection_counters {
    std::uint64_t decisions = 0;
    std::uint64_t refused_no_engine = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t pieces_total = 0;   ///< Whole pieces of the prompts of started requests.
    std::uint64_t pieces_cached = 0;  ///< Those of them found in the engine's cache.
    /// Pieces expected in the cache but not found there.
    std::uint64_t pieces_overestimated = 0;
    /// Pieces found in the cache but not expected there.
    std::uint64_t pieces_underestimated = 0;
};

/// Selects an engine for each request. All collaborators must outlive the selector. Used from the
/// event loop's thread only.
class selector final : public engine_selector {
  public:
    /// @param policy not null.
    selector(engine_directory& directory, prefix_knowledge& knowledge,
             std::unique_ptr<core::routing::policy> policy, runtime::scheduler& scheduler,
             selection_tunables tunables = default_selection_tunables);

    runtime::task<runtime::result<selected_engine, selection_error>> select(
        selection_query query) override;
    void record_started(const selection_query& query, const selected_engine& selected,
                        const engine::stream_started& started) override;
    std::optional<decision_record> explain(const base::request_id& request) const override;

    const selection_counters& counters() const { return counters_; }
    const core::routing::import_counters& import_counts() const { return imports_.counters(); }

  private:
    runtime::task<prefix_answer> look_up(const selection_query& query);
    runtime::result<selected_engine, selection_error> decide(const selection_query& query,
                                                             const prefix_answer& knowledge);
    /// @return the policy's decision. If the import limits don't admit its import, the policy is
    /// asked again with imports disabled.
    std::optional<core::routing::decision> choose(core::routing::routing_query& policy_query);
    selection_error refuse_no_engine();
    selection_error refuse_deadline(base::duration too_late_by);
    /// Counts the decision and adds it to the log.
    void record_decision(const selection_query& query,
                         const core::routing::routing_query& policy_query,
                         const core::routing::decision& policy_decision);

    engine_directory& directory_;
    prefix_knowledge& knowledge_;
    std::unique_ptr<core::routing::policy> policy_;
    runtime::scheduler& scheduler_;
    selection_tunables tunables_;
    core::routing::import_limiter imports_;
    decision_log log_;
    selection_counters counters_;
};

}  // namespace ferryroad::router::selection
