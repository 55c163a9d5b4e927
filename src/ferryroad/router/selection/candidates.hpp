/// @file
/// From what the directory and the prefix knowledge say to a policy's question.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/routing/types.hpp"
#include "ferryroad/router/engine_directory.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/selection/prefix_knowledge.hpp"

#include <vector>

namespace ferryroad::router::selection {

/// @return engines that may run the request: not excluded, of a fitting role, and not known
/// to serve another model, weights version or adapter set.
std::vector<engine_view> eligible_engines(std::vector<engine_view> engines,
                                          const selection_query& query);

/// @return the policy's question; candidate n is `engines[n]`. Holders of another
/// incarnation than the engine's present one count for nothing.
core::routing::routing_query to_routing_query(const selection_query& query,
                                              const std::vector<engine_view>& engines,
                                              const prefix_answer& knowledge,
                                              base::monotonic_time now);

}  // namespace ferryroad::router::selection
