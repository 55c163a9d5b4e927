/// @file
/// Region of each zone, and the distance between zones that follows from it. Placement, state
/// transfer and reads of tables all use this distance.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::topology {

/// Distance between two zones, from near to far.
enum class distance { same_zone, other_zone, other_region };

/// @return the name of the enumerator.
std::string_view to_string(distance away);

/// Immutable, and therefore thread-safe.
class zone_map {
  public:
    /// No regions are configured: all zones are in the same region.
    zone_map() = default;
    explicit zone_map(std::map<base::zone_name, base::region_name> regions);

    /// @return the distance between two zones. If several regions are configured, an unknown zone
    /// counts as another region, since traffic to it may be expensive.
    distance between(const base::zone_name& one, const base::zone_name& other) const;
    bool same_region(const base::zone_name& one, const base::zone_name& other) const {
        return between(one, other) != distance::other_region;
    }
    bool several_regions() const { return m_several_regions; }
    bool empty() const { return m_regions.empty(); }
    bool knows(const base::zone_name& zone) const { return m_regions.contains(zone); }
    /// @return the configured zones, ordered by name.
    std::vector<base::zone_name> zones() const;
    /// @return the region of a zone; nothing if the zone is not configured.
    std::optional<base::region_name> region_of(const base::zone_name& zone) const;

    friend bool operator==(const zone_map&, const zone_map&) = default;

  private:
    std::map<base::zone_name, base::region_name> m_regions;
    bool m_several_regions = false;
};

/// Error in a list of zones.
struct zone_fault {
    std::string entry;     ///< The invalid entry.
    std::string expected;  ///< Description of a valid entry.

    friend bool operator==(const zone_fault&, const zone_fault&) = default;
};

/// Result of parsing a list of zones. `zones` is empty if `fault` is set.
struct parsed_zones {
    zone_map zones;
    std::optional<zone_fault> fault;
};

/// Parses a list of zones. An entry without a zone or region, and a zone with two different
/// regions, is an error. Thread-safe.
/// @param entries one `ZONE=REGION` each.
parsed_zones parse_zones(const std::vector<std::string>& entries);

}  // namespace ferryroad::core::topology
