/// @file
/// Builds a routing policy's query from the engine directory and the prefix knowledge.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/types.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"

#include <vector>

namespace ferryroad::router::selection {

/// @return the engines that may run the request: not excluded by the query, not in the decode
/// role, and not known to serve another model, weights version or adapter set.
std::vector<engine_view> eligible_engines(std::vector<engine_view> engines,
                                          const selection_query& query);

/// @return the query for the policy; candidate n is `engines[n]`. Cache contents reported for
/// another incarnation of an engine than the current one are ignored.
core::routing::routing_query to_routing_query(const selection_query& query,
                                              const std::vector<engine_view>& engines,
                                              const prefix_answer& knowledge,
                                              base::monotonic_time now);

}  // namespace ferryroad::router::selection
