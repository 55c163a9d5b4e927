/// @file
/// The product's policy: least estimated time to first token, with a price on recomputation.
#pragma once

#include "ferryroad/core/routing/policy.hpp"
#include "ferryroad/core/routing/tunables.hpp"

#include <vector>

namespace ferryroad::core::routing {

/// Which candidates are weighed.
enum class candidate_scope {
    /// Holders of pieces, rendezvous choices at several depths and a few random ones: what a
    /// router that follows a subset of a large pool can know.
    selected,
    all
};

/// Weighs queue wait + prefill of missing pieces (or import of them, where that is cheaper)
/// + price x avoidable recomputation. Avoidable are pieces that some candidate holds and
/// this one would compute again. Candidates that can't meet `time_left` lose to those that
/// can, and all candidates are weighed where none of the selected ones can.
class cost_policy final : public policy {
  public:
    /// @param reported_name what `name()` says.
    cost_policy(std::string_view reported_name, candidate_scope scope,
                routing_tunables tunables = default_routing_tunables);

    std::string_view name() const override { return name_; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;

  private:
    /// Weighs the marked candidates.
    decision weigh(const routing_query& query, const std::vector<bool>& rendezvous,
                   const std::vector<bool>& weighed) const;
    /// @return what the moved copies cost beyond their time.
    base::duration copy_cost(const routing_query& query, const candidate_figures& figures) const;
    base::duration stray_penalty(const routing_query& query, std::size_t position) const;
    /// @return which candidates stand in the rendezvous order at some depth of the prompt.
    std::vector<bool> rendezvous_choices(const routing_query& query) const;
    std::vector<bool> weighed_candidates(const routing_query& query,
                                         const std::vector<bool>& rendezvous,
                                         base::random_source& random) const;

    std::string_view name_;
    candidate_scope scope_;
    routing_tunables tunables_;
};

}  // namespace ferryroad::core::routing
