/// @file
/// What the way to each zone takes, from this router's own exchanges: the shortest time of late,
/// beyond what the same takes within the own zone.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/topology/zone_map.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace ferryroad::core::topology {

struct path_tunables {
    /// Until enough was seen: two ways' delay to a zone of another region. Fast fibre takes 10 ms
    /// for a thousand kilometres there and back; routes are up to twice as long.
    base::duration assumed_region = std::chrono::milliseconds(40);
    /// Whatever was seen, no way is taken to be longer: a far zone must stay of use.
    base::duration longest = std::chrono::milliseconds(400);
    /// Exchanges of a window, at least, for its shortest to say something.
    std::size_t least_samples = 8;
    /// The shortest of this window and the one before it counts: a path that has become longer is
    /// believed after two windows at the most.
    base::duration window = std::chrono::seconds(5);
};

/// Exchanges take the way there and back, and whatever work and waiting there is: the shortest
/// ones come close to the way itself. A peer that froze, an engine that was busy or an outlier
/// makes an exchange longer, never shorter, so that it changes nothing; a negative time, after a
/// step of a clock, is left out. Not thread-safe.
class path_costs {
  public:
    explicit path_costs(base::zone_name self, zone_map zones = {}, path_tunables tunables = {});

    /// An exchange with something in the zone was answered after `took`. Only exchanges of one kind
    /// are compared with each other.
    void record(const base::zone_name& zone, base::duration took, base::monotonic_time now);

    /// @return the round trip to the zone beyond that within the own zone, as observed or else
    /// assumed by the distance; 0 within a region, as long as nothing else was observed.
    base::duration beyond_own(const base::zone_name& zone, base::monotonic_time now) const;

  private:
    struct window {
        base::monotonic_time began{};
        base::duration shortest{};
        std::size_t samples = 0;
    };
    /// The window that is being filled, and the one before.
    struct path {
        window current;
        window before;
    };

    base::duration assumed(const base::zone_name& zone) const;
    bool shortest(const base::zone_name& zone, base::monotonic_time now,
                  base::duration& found) const;

    base::zone_name m_self;
    zone_map m_zones;
    path_tunables m_tunables;
    std::map<base::zone_name, path> m_paths;
};

}  // namespace ferryroad::core::topology
