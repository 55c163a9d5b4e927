/// @file
/// Wakes coroutines of the event loop that wait for a change.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ferryroad::emulator {

/// @return the same time on the clock of Asio's timers.
inline boost::asio::steady_timer::time_point timer_time(base::monotonic_time when) {
    return boost::asio::steady_timer::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(when.time_since_epoch()));
}

/// Has no memory: check the condition, then wait, without a suspension in between.
class notifier {
  public:
    explicit notifier(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Returns at the next `notify` or at `limit`. Cancellation throws as Asio's waits do.
    runtime::task<void> wait_until(boost::asio::steady_timer::time_point limit) {
        timer_.expires_at(limit);
        boost::system::error_code ended;
        co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ended));
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() != boost::asio::cancellation_type::none) {
            throw boost::system::system_error(boost::asio::error::operation_aborted);
        }
    }
    runtime::task<void> wait() { return wait_until(boost::asio::steady_timer::time_point::max()); }
    void notify() { timer_.cancel(); }

  private:
    boost::asio::steady_timer timer_;
};

}  // namespace ferryroad::emulator
