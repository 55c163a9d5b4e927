#include "ferryroad/core/topology/zone_latency_estimator.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::topology {

zone_latency_estimator::zone_latency_estimator(base::zone_name self, zone_map zones,
                                               zone_latency_tunables tunables)
    : m_self(std::move(self)), m_zones(std::move(zones)), m_tunables(tunables) {}

void zone_latency_estimator::record(const base::zone_name& zone, base::duration took,
                                    base::monotonic_time now) {
    if (took < base::duration{}) {
        return;
    }
    samples_of_zone& known = m_samples[zone];
    if (known.current.samples > 0 && now - known.current.started_at >= m_tunables.window) {
        known.previous = known.current;
        known.current = {};
    }
    if (known.current.samples == 0) {
        known.current = {now, took, 1};
        return;
    }
    known.current.minimum = std::min(known.current.minimum, took);
    ++known.current.samples;
}

bool zone_latency_estimator::minimum(const base::zone_name& zone, base::monotonic_time now,
                                     base::duration& found) const {
    const auto known = m_samples.find(zone);
    if (known == m_samples.end()) {
        return false;
    }
    std::size_t samples = 0;
    for (const window& one : {known->second.current, known->second.previous}) {
        // Samples that are too old say nothing about the current latency.
        if (one.samples == 0 || now - one.started_at > 4 * m_tunables.window) {
            continue;
        }
        found = samples == 0 ? one.minimum : std::min(found, one.minimum);
        samples += one.samples;
    }
    return samples >= m_tunables.min_samples;
}

base::duration zone_latency_estimator::assumed_round_trip(const base::zone_name& zone) const {
    const bool far = m_zones.between(m_self, zone) == distance::other_region;
    return far ? m_tunables.assumed_region_round_trip : base::duration{};
}

base::duration zone_latency_estimator::excess_round_trip(const base::zone_name& zone,
                                                         base::monotonic_time now) const {
    base::duration there{};
    base::duration here{};
    if (zone == m_self || !minimum(zone, now, there) || !minimum(m_self, now, here)) {
        return assumed_round_trip(zone);
    }
    return std::clamp(there - here, base::duration{}, m_tunables.max_estimate);
}

}  // namespace ferryroad::core::topology
