/// Timers on the clock that goes on while a machine is suspended.
#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <limits>

using namespace ferryroad;
using namespace ferryroad::runtime;
using namespace std::chrono_literals;

Test(boot_clock, waits_for_the_event_loop_are_short_however_far_the_deadline) {
    using traits = boost::asio::wait_traits<boot_clock>;
    cr_assert(traits::to_wait_duration(boot_clock::duration(9s)) == longest_timer_wait);
    cr_assert(traits::to_wait_duration(boot_clock::duration(5ms)) == 5ms);
    cr_assert(traits::to_wait_duration(boot_clock::now() + 1h) == longest_timer_wait);
    cr_assert(traits::to_wait_duration(boot_clock::now() - 1h) == 0ms);
    cr_assert(traits::to_wait_duration(boot_clock::time_point::max()) == longest_timer_wait);
}

Test(boot_clock, a_timer_ends_at_its_time_and_not_at_the_end_of_a_short_wait) {
    boost::asio::io_context context;
    boot_timer timer(context);
    const boot_clock::time_point when = boot_clock::now() + 2 * longest_timer_wait + 30ms;
    boot_clock::time_point ended{};
    timer.expires_at(when);
    timer.async_wait([&](const boost::system::error_code& failure) {
        cr_assert_not(failure);
        ended = boot_clock::now();
    });
    context.run();
    cr_assert_geq(ended, when);
}

Test(boot_clock, a_timer_that_never_ends_is_cancelled) {
    boost::asio::io_context context;
    boot_timer never(context);
    bool cancelled = false;
    never.expires_at(boot_clock::time_point::max());
    never.async_wait([&](const boost::system::error_code& failure) {
        cancelled = failure == boost::asio::error::operation_aborted;
    });
    context.run_for(250ms);
    cr_assert_not(cancelled);
    never.cancel();
    context.restart();
    context.run();
    cr_assert(cancelled);
}
