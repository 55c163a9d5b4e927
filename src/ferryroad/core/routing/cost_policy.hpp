/// @file
/// Default routing policy: minimizes the estimated time to first token plus the cost of avoidable
/// recomputation.
#pragma once

#include "ferryroad/core/routing/policy.hpp"
#include "ferryroad/core/routing/tunables.hpp"

#include <vector>

namespace ferryroad::core::routing {

/// Which candidates are evaluated.
enum class candidate_scope {
    /// Holders of pieces, rendezvous choices at several depths and a few random ones. A router that
    /// follows only a subset of a large pool knows these.
    selected,
    all  ///< All candidates of the query.
};

/// The cost of a candidate is queue wait + prefill of missing pieces (or their import, if that is
/// faster) + price x avoidable recomputation. Pieces are avoidable if another candidate caches them
/// and this one would compute them again. Candidates that can meet `time_left` are preferred to
/// those that can't. If none of the selected candidates can, all candidates are evaluated.
class cost_policy final : public policy {
  public:
    /// @param reported_name the result of `name()`; must outlive the policy.
    cost_policy(std::string_view reported_name, candidate_scope scope,
                routing_tunables tunables = default_routing_tunables);

    std::string_view name() const override { return name_; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;

  private:
    /// Evaluates the marked candidates and chooses the best.
    decision evaluate(const routing_query& query, const std::vector<bool>& rendezvous,
                      const std::vector<bool>& evaluated) const;
    /// @return the cost of the cache space taken by imported pieces.
    base::duration import_cost(const routing_query& query, const candidate_figures& figures) const;
    /// @return the penalty of a candidate outside the rendezvous order and without cached pieces.
    base::duration off_order_penalty(const routing_query& query, std::size_t position) const;
    /// @return for each candidate, whether it is a rendezvous choice at some depth of the prompt.
    std::vector<bool> rendezvous_choices(const routing_query& query) const;
    std::vector<bool> select_candidates(const routing_query& query,
                                        const std::vector<bool>& rendezvous,
                                        base::random_source& random) const;

    std::string_view name_;
    candidate_scope scope_;
    routing_tunables tunables_;
};

}  // namespace ferryroad::core::routing
