/// @file
/// Baseline policy: the longest match of the learned index.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Chooses the engine with the longest known match, and among equals the one with the shortest
/// wait.
class index_only final : public policy {
  public:
    static constexpr std::string_view policy_name = "index_only";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
