#include "ferryroad/core/canary/canary_engines.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryroad::core::canary {

namespace {

/// Upper limit of a canary engine's load relative to an engine of the current version; above it
/// one more engine is used. Too much load makes a good version slow, too little hides a fault.
constexpr double max_relative_load = 1.25;

/// @return the number of engines to serve `share` of the requests.
std::size_t engines_needed(std::size_t current_engines, double share) {
    const double engines_at_equal_load = share * static_cast<double>(current_engines) / (1 - share);
    const double engines = std::floor(engines_at_equal_load + (2 - max_relative_load));
    return std::max<std::size_t>(1, static_cast<std::size_t>(engines));
}

}  // namespace

std::vector<base::engine_name> select_canary_engines(
    std::uint64_t order, const std::vector<base::engine_name>& candidates,
    std::size_t current_engines, double share) {
    std::vector<std::pair<std::uint64_t, base::engine_name>> scored;
    scored.reserve(candidates.size());
    for (const base::engine_name& name : candidates) {
        scored.emplace_back(base::rendezvous_score(order, name.value), name);
    }
    std::sort(scored.rbegin(), scored.rend());
    scored.erase(std::unique(scored.begin(), scored.end()), scored.end());
    std::vector<base::engine_name> chosen;
    for (const auto& [score, name] : scored) {
        if (chosen.size() == engines_needed(current_engines, share)) {
            break;
        }
        chosen.push_back(name);
    }
    return chosen;
}

}  // namespace ferryroad::core::canary
