/// @file
/// Baseline policy: rendezvous hashing of the prompt's middle piece.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Chooses the engine with the highest rendezvous score for the middle piece, without regard to
/// load.
class rendezvous final : public policy {
  public:
    static constexpr std::string_view policy_name = "rendezvous";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
