/// @file
/// Client-side rate limiter for calls to a rate-limited service, with backoff after refusals.
#pragma once

#include "ferryroad/runtime/scheduler.hpp"

#include <functional>
#include <vector>

namespace ferryroad::platform {

/// Settings of a `call_pacer`.
struct pacer_limits {
    double calls_per_second =
        5.0;             ///< Limit of this process; the service's limit is shared by all.
    double burst = 3.0;  ///< Calls that may be sent at once after idle time.
    base::duration initial_pause =
        std::chrono::milliseconds(50);  ///< Doubles with each refusal in a row.
    base::duration max_pause = std::chrono::seconds(2);
};

/// Shared by all callers of one service. Must be used from the event loop's thread and outlive the
/// coroutines that wait in `turn`.
class call_pacer {
  public:
    /// @param scheduler must outlive this object.
    call_pacer(runtime::scheduler& scheduler, pacer_limits limits);

    /// Waits until the rate limit admits this caller and no pause is in effect.
    runtime::task<void> turn();
    /// Records that the service refused a call. Pauses all calls for at least `retry_after`, with
    /// jitter so that processes refused at the same time don't retry at the same time.
    void refused(base::duration retry_after);
    /// Records that the service accepted a call, which resets the backoff.
    void accepted() { refusals_ = 0; }

    /// @return the end of the current pause; in the past if there is none.
    base::monotonic_time paused_until() const { return paused_until_; }
    /// Registers a listener that is called whenever a pause begins. It must stay valid for the
    /// lifetime of this object.
    void on_pause(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  private:
    /// Reserves the next slot.
    /// @return when the call may be sent.
    base::monotonic_time reserve();

    runtime::scheduler& scheduler_;
    pacer_limits limits_;
    base::duration interval_;
    base::monotonic_time
        next_slot_{};  ///< At an even rate; runs ahead of the clock during a burst.
    base::monotonic_time paused_until_{};
    unsigned refusals_ = 0;  ///< Consecutive refusals.
    std::vector<std::function<void()>> listeners_;
};

}  // namespace ferryroad::platform
