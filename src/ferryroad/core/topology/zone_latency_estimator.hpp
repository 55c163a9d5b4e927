/// @file
/// Estimates the network latency to each zone from this router's own exchanges: the recent minimum
/// to the zone less the minimum within the router's own zone.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/topology/zone_map.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace ferryroad::core::topology {

struct zone_latency_tunables {
    /// Round trip assumed to a zone of another region until there are enough samples. Light in
    /// fibre takes 10 ms for a round trip over 1000 km, and routes are up to twice as long.
    base::duration assumed_region_round_trip = std::chrono::milliseconds(40);
    /// Upper limit of an estimate, so that a distant zone remains usable.
    base::duration max_estimate = std::chrono::milliseconds(400);
    /// Minimum number of samples for an estimate.
    std::size_t min_samples = 8;
    /// The minimum over the current window and the one before it counts, so that an increase of the
    /// latency takes effect after two windows at most.
    base::duration window = std::chrono::seconds(5);
};

/// The duration of an exchange is the network round trip plus processing and queueing, so that the
/// minimum approaches the round trip. A suspended peer, a busy engine or an outlier only makes an
/// exchange longer and does not affect the minimum. Negative durations, which a step of a clock can
/// cause, are ignored. Not thread-safe.
class zone_latency_estimator {
  public:
    explicit zone_latency_estimator(base::zone_name self, zone_map zones = {},
                                    zone_latency_tunables tunables = {});

    /// Records an exchange with a peer in the zone. All recorded exchanges must be of the same
    /// kind, so that they are comparable.
    /// @param took time until the answer.
    void record(const base::zone_name& zone, base::duration took, base::monotonic_time now);

    /// @return the round trip to the zone less that within the own zone. Without enough samples it
    /// is assumed from the distance: 0 within a region.
    base::duration excess_round_trip(const base::zone_name& zone, base::monotonic_time now) const;

  private:
    struct window {
        base::monotonic_time started_at{};
        base::duration minimum{};
        std::size_t samples = 0;
    };
    /// The current window and the one before it.
    struct samples_of_zone {
        window current;
        window previous;
    };

    base::duration assumed_round_trip(const base::zone_name& zone) const;
    bool minimum(const base::zone_name& zone, base::monotonic_time now,
                 base::duration& found) const;

    base::zone_name m_self;
    zone_map m_zones;
    zone_latency_tunables m_tunables;
    std::map<base::zone_name, samples_of_zone> m_samples;
};

}  // namespace ferryroad::core::topology
