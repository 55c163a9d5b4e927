/// @file
/// Time as a value. Decisions take `now` as an argument; only the runtime and the
/// simulator hold a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace ferryroad::base {

using duration = std::chrono::nanoseconds;

/// Tag of the process's clock (real or simulated): time since an arbitrary start that goes on while
/// the machine is suspended. It has no now() of its own.
struct monotonic_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A reading of one process's monotonic clock: never compared between processes.
using monotonic_time = monotonic_clock::time_point;

/// Reads time. Not thread-safe beyond concurrent reads; owned by the composition root,
/// borrowed by everything else.
class clock {
  public:
    virtual ~clock() = default;
    /// @return time since an arbitrary start; never falls.
    virtual monotonic_time now() const = 0;
    /// @return milliseconds since the Unix epoch, for logs and stored records only.
    virtual std::int64_t unix_milliseconds() const = 0;
};

inline double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}
inline duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}
inline std::int64_t to_milliseconds(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace ferryroad::base
