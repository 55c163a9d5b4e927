/// @file
/// Wakes coroutines of one event loop that wait for a change.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ferryroad::emulator {

/// Converts a time to the clock of Asio's timers.
inline boost::asio::steady_timer::time_point timer_time(base::monotonic_time when) {
    return boost::asio::steady_timer::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(when.time_since_epoch()));
}

/// A notification wakes only the coroutines that already wait, so check the condition and wait
/// without a suspension in between. Used on the event loop's thread.
class notifier {
  public:
    explicit notifier(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Returns at the next `notify` or at `limit`.
    /// @throws boost::system::system_error (operation_aborted) if the coroutine is cancelled.
    runtime::task<void> wait_until(boost::asio::steady_timer::time_point limit) {
        timer_.expires_at(limit);
        boost::system::error_code ended;
        co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ended));
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() != boost::asio::cancellation_type::none) {
            throw boost::system::system_error(boost::asio::error::operation_aborted);
        }
    }
    /// Returns at the next `notify`; throws like `wait_until`.
    runtime::task<void> wait() { return wait_until(boost::asio::steady_timer::time_point::max()); }
    /// Wakes all waiting coroutines.
    void notify() { timer_.cancel(); }

  private:
    boost::asio::steady_timer timer_;
};

}  // namespace ferryroad::emulator
