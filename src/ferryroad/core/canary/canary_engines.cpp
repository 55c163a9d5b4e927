#include "ferryroad/core/canary/canary_engines.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryroad::core::canary {

namespace {

/// The load of an engine in force that a canary's may go beyond before one more is taken: too much
/// makes a good version slow, too little hides a fault.
constexpr double most_load = 1.25;

/// @return engines that together take `share` of the requests.
std::size_t wanted(std::size_t current_engines, double share) {
    const double each_as_current = share * static_cast<double>(current_engines) / (1 - share);
    const double engines = std::floor(each_as_current + (2 - most_load));
    return std::max<std::size_t>(1, static_cast<std::size_t>(engines));
}

}  // namespace

std::vector<base::engine_name> canary_engines(std::uint64_t order,
                                              const std::vector<base::engine_name>& candidates,
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
        if (chosen.size() == wanted(current_engines, share)) {
            break;
        }
        chosen.push_back(name);
    }
    return chosen;
}

}  // namespace ferryroad::core::canary
