/// @file
/// Baseline policy: the engine with the shortest queue.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Chooses the engine with the shortest estimated wait, among equals the one with the fewest
/// requests, and among equals of these a random one.
class least_loaded final : public policy {
  public:
    static constexpr std::string_view policy_name = "least_loaded";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;
};

}  // namespace ferryroad::core::routing
