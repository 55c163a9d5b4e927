#include "ferryroad/core/placement/engine_draw.hpp"

#include <algorithm>
#include <iterator>

namespace ferryroad::core::placement {

namespace {

using engines = std::vector<drawable_engine>;

/// Moves up to `count` engines with the highest scores from `from` to `drawn`.
void move_highest(engines& from, std::size_t count, std::vector<std::size_t>& drawn) {
    count = std::min(count, from.size());
    const auto end = from.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(from.begin(), end, from.end(),
                      [](const auto& a, const auto& b) { return a.score > b.score; });
    std::transform(from.begin(), end, std::back_inserter(drawn),
                   [](const drawable_engine& one) { return one.index; });
    from.erase(from.begin(), end);
}

}  // namespace

std::vector<std::size_t> draw_engines(const std::vector<drawable_engine>& from,
                                      const draw_limits& limits) {
    engines connected;
    engines near;
    engines far;
    engines unhealthy;
    for (const drawable_engine& one : from) {
        if (!one.healthy) {
            unhealthy.push_back(one);
        } else if (one.far) {
            far.push_back(one);
        } else {
            (one.connected ? connected : near).push_back(one);
        }
    }
    std::vector<std::size_t> drawn;
    move_highest(far, std::min(limits.far, limits.engines), drawn);
    move_highest(connected, std::min(limits.connected, limits.engines - drawn.size()), drawn);
    near.insert(near.end(), connected.begin(), connected.end());
    move_highest(near, limits.engines - drawn.size(), drawn);
    move_highest(far, limits.engines - drawn.size(), drawn);
    move_highest(unhealthy, limits.engines - drawn.size(), drawn);
    return drawn;
}

}  // namespace ferryroad::core::placement
