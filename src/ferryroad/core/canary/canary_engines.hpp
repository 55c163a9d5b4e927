/// @file
/// Which engines of a version on trial get its requests: so few that each has about the load of
/// an engine in force, as a fault may show only under load.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::core::canary {

/// @param order the trial, so that each trial takes other engines.
/// @param candidates engines of the version on trial that are present.
/// @param current_engines engines that the other requests go to.
/// @param share of requests that the canary gets.
/// @return the engines to use, by rendezvous over their names, at least one where there is one:
/// the same at all routers that know the same engines. Thread-safe.
std::vector<base::engine_name> canary_engines(std::uint64_t order,
                                              const std::vector<base::engine_name>& candidates,
                                              std::size_t current_engines, double share);

}  // namespace ferryroad::core::canary
