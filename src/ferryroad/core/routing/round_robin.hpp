/// @file
/// Baseline policy: each engine in turn.
#pragma once

#include "ferryroad/core/routing/policy.hpp"

namespace ferryroad::core::routing {

/// Chooses the engines in the order of their names, independently at each router.
class round_robin final : public policy {
  public:
    static constexpr std::string_view policy_name = "round_robin";
    std::string_view name() const override { return policy_name; }
    std::optional<decision> choose(const routing_query& query,
                                   base::random_source& random) override;

  private:
    base::engine_name last_;
};

}  // namespace ferryroad::core::routing
