#include "ferryroad/core/topology/zone_map.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::core::topology {

std::string_view to_string(distance away) {
    switch (away) {
        case distance::same_zone:
            return "same_zone";
        case distance::other_zone:
            return "other_zone";
        case distance::other_region:
            break;
    }
    return "other_region";
}

zone_map::zone_map(std::map<base::zone_name, base::region_name> regions)
    : m_regions(std::move(regions)) {
    m_several_regions = std::any_of(m_regions.begin(), m_regions.end(), [&](const auto& entry) {
        return entry.second != m_regions.begin()->second;
    });
}

distance zone_map::between(const base::zone_name& one, const base::zone_name& other) const {
    if (one == other) {
        return distance::same_zone;
    }
    if (!m_several_regions) {
        return distance::other_zone;
    }
    const auto here = m_regions.find(one);
    const auto there = m_regions.find(other);
    const bool known = here != m_regions.end() && there != m_regions.end();
    return known && here->second == there->second ? distance::other_zone : distance::other_region;
}

std::vector<base::zone_name> zone_map::zones() const {
    std::vector<base::zone_name> all;
    for (const auto& [zone, region] : m_regions) {
        all.push_back(zone);
    }
    return all;
}

std::optional<base::region_name> zone_map::region_of(const base::zone_name& zone) const {
    const auto found = m_regions.find(zone);
    return found == m_regions.end() ? std::nullopt : std::optional(found->second);
}

parsed_zones parse_zones(const std::vector<std::string>& entries) {
    std::map<base::zone_name, base::region_name> regions;
    for (const std::string& entry : entries) {
        const std::size_t separator = entry.find('=');
        if (separator == std::string::npos || separator == 0 || separator + 1 == entry.size()) {
            return {{}, zone_fault{entry, "ZONE=REGION, neither of them empty"}};
        }
        const base::zone_name zone(entry.substr(0, separator));
        const base::region_name region(entry.substr(separator + 1));
        const auto [place, added] = regions.try_emplace(zone, region);
        if (!added && place->second != region) {
            return {{}, zone_fault{entry, "one region for each zone"}};
        }
    }
    return {zone_map(std::move(regions)), std::nullopt};
}

}  // namespace ferryroad::core::topology
