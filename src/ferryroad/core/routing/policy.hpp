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

/// Chooses an engine. Pure but for what a policy remembers of its own choices; not
/// thread-safe.
class policy {
  public:
    virtual ~policy() = default;
    /// @return the name that `make_policy` knows it by.
    virtual std::string_view name() const = 0;
    /// @return nothing where the query has no candidate.
    virtual std::optional<decision> choose(const routing_query& query,
                                           base::random_source& random) = 0;
};

/// @return the names that `make_policy` accepts.
std::span<const std::string_view> policy_names();

/// @param name `cost` is the product's; the others are baselines: `round_robin`,
/// `least_loaded`, `rendezvous`, `rendezvous_bounded`, `index_only`; `ideal` is `cost` over
/// all candidates, for use with full knowledge.
/// @return null where no policy has that name.
std::unique_ptr<policy> make_policy(std::string_view name);

}  // namespace ferryroad::core::routing
