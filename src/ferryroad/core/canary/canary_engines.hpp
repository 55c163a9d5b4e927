/// @file
/// Selects the engines that serve the canary version. They are so few that each has about the load
/// of an engine of the current version, since a fault may show only under load.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::core::canary {

/// Selects engines by rendezvous hashing of their names, so that all routers that know the same
/// engines select the same ones. Thread-safe.
/// @param order identifies the trial, so that each trial uses other engines.
/// @param candidates the engines that run the canary version.
/// @param current_engines number of engines that serve the other requests.
/// @param share share of the requests that the canary serves, below 1.
/// @return the engines to use; at least one unless there are no candidates.
std::vector<base::engine_name> select_canary_engines(
    std::uint64_t order, const std::vector<base::engine_name>& candidates,
    std::size_t current_engines, double share);

}  // namespace ferryroad::core::canary
