/// @file
/// Baseline policy: rendezvous hashing of the middle piece with bounded load.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Chooses the first engine in rendezvous order whose wait is at most `bounded_load_factor` times
/// the mean wait plus `bounded_load_slack`. If none of the first `bounded_load_choices` engines
/// meets this, the one with the shortest wait is chosen.
class rendezvous_bounded final : public policy {
  public:
    static constexpr std::string_view policy_name = "rendezvous_bounded";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
