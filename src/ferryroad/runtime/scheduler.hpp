/// @file
/// Time and concurrency as a dependency: the daemon's scheduler stands on Asio's timers,
/// the simulator's on virtual time. The same services run on both.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string_view>

namespace ferryroad::runtime {

/// Runs coroutines, tells the time and waits. All calls from the event loop's thread; the
/// scheduler outlives every coroutine it runs.
class scheduler : public base::clock {
  public:
    /// Resumes the caller at `when` or at once if that has passed. Asio cancellation ends
    /// the wait early by throwing `boost::system::system_error` (operation_aborted).
    virtual task<void> sleep_until(base::monotonic_time when) = 0;

    /// Starts a coroutine that nobody waits for.
    /// @param name of the coroutine for the log, should an exception leave it.
    virtual void spawn(std::string_view name, task<void> work) = 0;

    /// @return the executor that `spawn` uses, for Asio's own primitives.
    virtual boost::asio::any_io_executor executor() = 0;

    /// @return the process's random source.
    virtual base::random_source& random() = 0;

    task<void> sleep_for(base::duration delay) { return sleep_until(now() + delay); }
};

}  // namespace ferryroad::runtime
