#include "ferryroad/core/topology/path_costs.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::topology {

path_costs::path_costs(base::zone_name self, zone_map zones, path_tunables tunables)
    : m_self(std::move(self)), m_zones(std::move(zones)), m_tunables(tunables) {}

void path_costs::record(const base::zone_name& zone, base::duration took,
                        base::monotonic_time now) {
    if (took < base::duration{}) {
        return;
    }
    path& known = m_paths[zone];
    if (known.current.samples > 0 && now - known.current.began >= m_tunables.window) {
        known.before = known.current;
        known.current = {};
    }
    if (known.current.samples == 0) {
        known.current = {now, took, 1};
        return;
    }
    known.current.shortest = std::min(known.current.shortest, took);
    ++known.current.samples;
}

bool path_costs::shortest(const base::zone_name& zone, base::monotonic_time now,
                          base::duration& found) const {
    const auto known = m_paths.find(zone);
    if (known == m_paths.end()) {
        return false;
    }
    std::size_t samples = 0;
    for (const window& one : {known->second.current, known->second.before}) {
        // What was seen long ago says nothing of the way now.
        if (one.samples == 0 || now - one.began > 4 * m_tunables.window) {
            continue;
        }
        found = samples == 0 ? one.shortest : std::min(found, one.shortest);
        samples += one.samples;
    }
    return samples >= m_tunables.least_samples;
}

base::duration path_costs::assumed(const base::zone_name& zone) const {
    const bool far = m_zones.between(m_self, zone) == distance::other_region;
    return far ? m_tunables.assumed_region : base::duration{};
}

base::duration path_costs::beyond_own(const base::zone_name& zone, base::monotonic_time now) const {
    base::duration there{};
    base::duration here{};
    if (zone == m_self || !shortest(zone, now, there) || !shortest(m_self, now, here)) {
        return assumed(zone);
    }
    return std::clamp(there - here, base::duration{}, m_tunables.longest);
}

}  // namespace ferryroad::core::topology
