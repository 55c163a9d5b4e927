/// @file
/// Which region each zone lies in, and with it how far two zones are from each other: the one
/// notion of distance that placing, sharing and reading go by.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::core::topology {

/// From near to far.
enum class distance { same_zone, other_zone, other_region };

std::string_view to_string(distance away);

/// Immutable; thread-safe for that reason.
class zone_map {
  public:
    /// Nothing is told of regions: all zones lie in one.
    zone_map() = default;
    explicit zone_map(std::map<base::zone_name, base::region_name> regions);

    /// @return how far two zones are apart. Where there are several regions, a zone that isn't
    /// told of lies in none of them: its bytes may be dear.
    distance between(const base::zone_name& one, const base::zone_name& other) const;
    bool same_region(const base::zone_name& one, const base::zone_name& other) const {
        return between(one, other) != distance::other_region;
    }
    bool several_regions() const { return m_several; }
    bool empty() const { return m_regions.empty(); }
    bool knows(const base::zone_name& zone) const { return m_regions.contains(zone); }
    /// @return all that are told of, in the order of their names.
    std::vector<base::zone_name> zones() const;
    /// @return nothing for a zone that isn't told of.
    std::optional<base::region_name> region_of(const base::zone_name& zone) const;

    friend bool operator==(const zone_map&, const zone_map&) = default;

  private:
    std::map<base::zone_name, base::region_name> m_regions;
    bool m_several = false;
};

/// A list of zones that can't be used.
struct zone_fault {
    std::string entry;  ///< The one at fault.
    std::string expected;

    friend bool operator==(const zone_fault&, const zone_fault&) = default;
};

/// The outcome of reading a list: `fault` says why `zones` is empty.
struct parsed_zones {
    zone_map zones;
    std::optional<zone_fault> fault;
};

/// @param entries `ZONE=REGION` each. A zone without a region, or told twice with two regions,
/// is a fault. Thread-safe.
parsed_zones parse_zones(const std::vector<std::string>& entries);

}  // namespace ferryroad::core::topology
