/// Guards against error entries in the log for cancelled coroutines: one that waits for either of
/// two operations (`a || b`) ends with multiple_exceptions instead of operation_aborted.
#include "ferryroad/runtime/cancellation.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <exception>
#include <stdexcept>

using namespace ferryroad;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> wait(asio::steady_timer& timer) {
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> wait_for_either(asio::steady_timer& one, asio::steady_timer& other) {
    using asio::experimental::awaitable_operators::operator||;
    auto first = wait(one);
    auto second = wait(other);
    co_await (std::move(first) || std::move(second));
}

/// @return the exception that ends a coroutine cancelled while it waits for either of two timers.
std::exception_ptr cancelled_wait() {
    asio::io_context context;
    asio::steady_timer one(context, 1h);
    asio::steady_timer other(context, 1h);
    asio::cancellation_signal cancel;
    std::exception_ptr ended;
    asio::co_spawn(context, wait_for_either(one, other),
                   asio::bind_cancellation_slot(
                       cancel.slot(), [&](std::exception_ptr failure) { ended = failure; }));
    context.poll();
    cancel.emit(asio::cancellation_type::terminal);
    context.poll();
    return ended;
}

}  // namespace

Test(cancellation, is_detected_in_a_wait_for_either_of_two_operations) {
    const std::exception_ptr ended = cancelled_wait();
    cr_assert(ended != nullptr);
    cr_assert(runtime::is_cancellation(ended));
}

Test(cancellation, is_not_reported_for_other_exceptions) {
    cr_assert(!runtime::is_cancellation(std::make_exception_ptr(std::runtime_error("fault"))));
}
