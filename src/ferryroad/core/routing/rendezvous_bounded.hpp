/// @file
/// Baseline: rendezvous hashing of the middle piece, bounded by load.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Takes the first engine in rendezvous order whose wait is within a bound of the mean.
class rendezvous_bounded final : public policy {
  public:
    static constexpr std::string_view policy_name = "rendezvous_bounded";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
