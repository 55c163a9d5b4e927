/// @file
/// A clock that counts the time since boot, including suspension, and Asio timers on it.
/// std::chrono::steady_clock stops while the machine is suspended: after a resume, stale data would
/// look as recent as before.
#pragma once

#include "ferryroad/base/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include <algorithm>
#include <chrono>

namespace ferryroad::runtime {

/// Meets the standard's Clock requirements. Thread-safe.
struct boot_clock {
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Upper bound for one wait of the event loop before it reads the clock again. The system's timers
/// don't count suspension, so this is also how late a timer may fire after a resume. Costs up to
/// ten wake-ups per second and process.
inline constexpr base::duration max_timer_wait = std::chrono::milliseconds(100);

/// Asio timer for deadlines, ages and delays that must include suspension.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

}  // namespace ferryroad::runtime

/// Bounds how long Asio waits before it reads the clock again.
template <>
struct boost::asio::wait_traits<ferryroad::runtime::boot_clock> {
    using clock = ferryroad::runtime::boot_clock;

    static clock::duration to_wait_duration(const clock::duration& left) {
        return std::min(left, ferryroad::runtime::max_timer_wait);
    }
    static clock::duration to_wait_duration(const clock::time_point& when) {
        const clock::time_point now = clock::now();
        return when <= now ? clock::duration::zero() : to_wait_duration(when - now);
    }
};
