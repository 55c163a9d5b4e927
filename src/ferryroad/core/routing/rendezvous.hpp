/// @file
/// Baseline: rendezvous hashing of the prompt's middle piece.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Takes the highest rendezvous score for the middle piece, whatever the load.
class rendezvous final : public policy {
  public:
    static constexpr std::string_view policy_name = "rendezvous";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
