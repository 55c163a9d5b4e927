/// @file
/// Interface of routing policies and their factory.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/core/routing/types.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace ferryroad::core::routing {

/// Chooses an engine for a request. The only state of a policy is what it remembers of its own
/// choices. Not thread-safe.
class policy {
  public:
    virtual ~policy() = default;
    /// @return the name that `make_policy` accepts for this policy.
    virtual std::string_view name() const = 0;
    /// @return the decision; nothing if the query has no candidates.
    virtual std::optional<decision> choose(const routing_query& query,
                                           base::random_source& random) = 0;
};

/// @return the names that `make_policy` accepts.
std::span<const std::string_view> policy_names();

/// Creates a policy.
/// @param name `cost` is the default policy. `round_robin`, `least_loaded`, `rendezvous`,
/// `rendezvous_bounded` and `index_only` are baselines. `ideal` is `cost` over all candidates, for
/// use with complete information.
/// @return the policy; null if there is none with that name.
std::unique_ptr<policy> make_policy(std::string_view name);

}  // namespace ferryroad::core::routing
