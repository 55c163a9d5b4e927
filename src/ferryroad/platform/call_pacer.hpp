/// @file
/// When this process may next call a rate-limited service: its own rate, and pauses after
/// the service refused a call.
#pragma once

#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <vector>

namespace ferryroad::platform {

struct pacer_limits {
    double calls_per_second = 5.0;  ///< Of this process; the service's rate is shared by all.
    double burst = 3.0;             ///< Calls that may go at once after a quiet time.
    base::duration first_pause = std::chrono::milliseconds(50);  ///< Doubles with each refusal.
    base::duration longest_pause = std::chrono::seconds(2);
};

/// Shared by all that call one service. Used from the event loop's thread; lives as long as
/// the coroutines that wait for a turn.
class call_pacer {
  public:
    /// @param scheduler outlives this.
    call_pacer(runtime::scheduler& scheduler, pacer_limits limits);

    /// Waits for this caller's place in the rate and for the end of a pause.
    runtime::task<void> turn();
    /// The service refused a call: pauses all calls for `retry_after` at least, with jitter, so
    /// that processes refused together don't come back together.
    void refused(base::duration retry_after);
    /// The service took a call: the next pause is a first one again.
    void accepted() { refusals_ = 0; }

    /// @return the end of the pause; in the past where there is none.
    base::monotonic_time paused_until() const { return paused_until_; }
    /// Calls `listener` after each beginning of a pause. It lives as long as this.
    void on_pause(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  private:
    base::monotonic_time reserve();

    runtime::scheduler& scheduler_;
    pacer_limits limits_;
    base::duration interval_;
    base::monotonic_time next_place_{};  ///< At an even rate; ahead of time after a burst.
    base::monotonic_time paused_until_{};
    unsigned refusals_ = 0;  ///< In a row.
    std::vector<std::function<void()>> listeners_;
};

}  // namespace ferryroad::platform
