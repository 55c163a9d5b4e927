/// @file
/// Which engines of many a request is weighed for. What routers know of load is some 100 ms old: if
/// each took the least loaded of all, they would meet there, so that each request draws a few.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ferryroad::core::placement {

/// An engine that may be drawn.
struct drawable_engine {
    std::size_t index = 0;    ///< In the caller's list.
    std::uint64_t score = 0;  ///< By the request's id: the highest are drawn.
    bool sound = true;        ///< Others are drawn only where too few sound ones are left.
    bool connected = false;   ///< A connection to it is kept.
    bool far = false;         ///< It stands in another region.

    friend bool operator==(const drawable_engine&, const drawable_engine&) = default;
};

struct draw_limits {
    std::size_t engines = 16;
    /// Of these, those of other regions: enough for a request to go where there is room, few enough
    /// that the own region is seen well. More only where the own region has too few sound ones.
    std::size_t far = 4;
    /// Of the others, at most so many are drawn first among those that a connection is kept to:
    /// routers keep different ones. Measured at 83 routers and 146 engines: 10,700 new connections
    /// a day without, 6,700 with it.
    std::size_t connected = 8;

    friend bool operator==(const draw_limits&, const draw_limits&) = default;
};

/// @return the indices drawn, at most `limits.engines`. Thread-safe.
std::vector<std::size_t> draw_engines(const std::vector<drawable_engine>& from,
                                      const draw_limits& limits);

}  // namespace ferryroad::core::placement
