/// @file
/// Time since the machine's start, suspensions included, and Asio's timers on it. The steady clock
/// stands still while a machine is suspended: all that was known before would seem as fresh after.
#pragma once

#include "ferryroad/base/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include <algorithm>
#include <chrono>

namespace ferryroad::runtime {

/// Meets the standard's requirements for a clock. Thread-safe.
struct boot_clock {
    using duration = base::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// The system's timers don't count suspensions: the event loop waits no longer than this at a time
/// before it asks the clock again, so that timers are no later than that as a machine wakes. Ten
/// wake-ups a second and process.
inline constexpr base::duration longest_timer_wait = std::chrono::milliseconds(100);

/// For deadlines, ages and pauses.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

}  // namespace ferryroad::runtime

/// How long Asio may wait before it looks at the clock again.
template <>
struct boost::asio::wait_traits<ferryroad::runtime::boot_clock> {
    using clock = ferryroad::runtime::boot_clock;

    static clock::duration to_wait_duration(const clock::duration& left) {
        return std::min(left, ferryroad::runtime::longest_timer_wait);
    }
    static clock::duration to_wait_duration(const clock::time_point& when) {
        const clock::time_point now = clock::now();
        return when <= now ? clock::duration::zero() : to_wait_duration(when - now);
    }
};
