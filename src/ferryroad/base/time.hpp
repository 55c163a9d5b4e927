/// @file
/// Time points, durations and the clock interface. Decision code takes `now` as an argument; only
/// the runtime and the simulator read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace ferryroad::base {

using duration = std::chrono::nanoseconds;

/// Tag type of the process's monotonic clock (real or simulated): time since an arbitrary epoch,
/// including time during which the machine is suspended. It has no now(); use `clock`.
struct monotonic_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A time point of one process's monotonic clock; not comparable between processes.
using monotonic_time = monotonic_clock::time_point;

/// Reads the time. Concurrent reads are safe, nothing else is. Owned by the composition root; users
/// hold a reference.
class clock {
  public:
    virtual ~clock() = default;
    /// @return the time since an arbitrary epoch; never decreases.
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
