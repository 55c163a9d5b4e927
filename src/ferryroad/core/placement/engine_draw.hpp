/// @file
/// Draws a random subset of the engines as candidates for a request. The load known to routers is
/// about 100 ms old. If each router chose the least loaded of all engines, their requests would
/// collide there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ferryroad::core::placement {

/// An engine that may be drawn.
struct drawable_engine {
    std::size_t index = 0;    ///< Index in the caller's list.
    std::uint64_t score = 0;  ///< Hash of the request id and the engine; the highest are drawn.
    bool healthy = true;      ///< Unhealthy engines are drawn only if too few others are left.
    bool connected = false;   ///< The router has an open connection to it.
    bool far = false;         ///< It is in another region.

    friend bool operator==(const drawable_engine&, const drawable_engine&) = default;
};

struct draw_limits {
    std::size_t engines = 16;  ///< Maximum number of engines drawn.
    /// Number of these from other regions: enough to find free capacity there, and few enough that
    /// the router's own region is well represented. More are drawn only if the own region has too
    /// few healthy engines.
    std::size_t far = 4;
    /// Number of the others that are drawn first among connected engines, which differ between
    /// routers. For 83 routers and 146 engines this reduces new connections from 10,700 to 6,700
    /// per day.
    std::size_t connected = 8;

    friend bool operator==(const draw_limits&, const draw_limits&) = default;
};

/// @return the indices of the engines drawn, at most `limits.engines`. Thread-safe.
std::vector<std::size_t> draw_engines(const std::vector<drawable_engine>& from,
                                      const draw_limits& limits);

}  // namespace ferryroad::core::placement
