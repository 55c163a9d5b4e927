/// @file
/// Interface for time and concurrency. The implementation for real processes uses Asio timers, the
/// simulator's uses virtual time; the same services run on both.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string_view>

namespace ferryroad::runtime {

/// Runs coroutines, reads the time and sleeps. Call it from the event loop's thread only. Must
/// outlive every coroutine that it runs.
class scheduler : public base::clock {
  public:
    /// Resumes the caller at `when`, or at once if that has passed. Cancellation ends the wait
    /// early and throws boost::system::system_error (operation_aborted).
    virtual task<void> sleep_until(base::monotonic_time when) = 0;

    /// Starts a detached coroutine. An exception that leaves it is logged.
    /// @param name logger name for that entry.
    virtual void spawn(std::string_view name, task<void> work) = 0;

    /// @return the executor that `spawn` uses, for Asio objects.
    virtual boost::asio::any_io_executor executor() = 0;

    /// @return the process's random source.
    virtual base::random_source& random() = 0;

    /// Like `sleep_until`, `delay` from now.
    task<void> sleep_for(base::duration delay) { return sleep_until(now() + delay); }
};

}  // namespace ferryroad::runtime
