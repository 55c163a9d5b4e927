/// Timers on the clock that includes suspension: each wait of the event loop is bounded, and timers
/// still fire at their time and not at the end of such a wait.
#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <limits>

using namespace ferryroad;
using namespace ferryroad::runtime;
using namespace std::chrono_literals;

Test(boot_clock, single_waits_are_bounded_for_any_deadline) {
    using traits = boost::asio::wait_traits<boot_clock>;
    cr_assert(traits::to_wait_duration(boot_clock::duration(9s)) == max_timer_wait);
    cr_assert(traits::to_wait_duration(boot_clock::duration(5ms)) == 5ms);
    cr_assert(traits::to_wait_duration(boot_clock::now() + 1h) == max_timer_wait);
    cr_assert(traits::to_wait_duration(boot_clock::now() - 1h) == 0ms);
    cr_assert(traits::to_wait_duration(boot_clock::time_point::max()) == max_timer_wait);
}

Test(boot_clock, a_timer_fires_at_its_expiry_and_not_at_the_end_of_a_bounded_wait) {
    boost::asio::io_context context;
    boot_timer timer(context);
    const boot_clock::time_point when = boot_clock::now() + 2 * max_timer_wait + 30ms;
    boot_clock::time_point ended{};
    timer.expires_at(when);
    timer.async_wait([&](const boost::system::error_code& failure) {
        cr_assert_not(failure);
        ended = boot_clock::now();
    });
    context.run();
    cr_assert_geq(ended, when);
}

Test(boot_clock, a_timer_without_expiry_can_be_cancelled) {
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
