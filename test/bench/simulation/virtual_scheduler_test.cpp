/// Virtual time: order, cancellation, pause, kill, drift, and the same run for the same seed.
#include "bench/simulation/virtual_scheduler.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using ferryroad::base::duration;
using ferryroad::base::monotonic_time;
using ferryroad::bench::simulation::clock_error;
using ferryroad::bench::simulation::virtual_scheduler;
using ferryroad::bench::simulation::virtual_time;
using ferryroad::runtime::task;

namespace {

constexpr std::uint64_t process_seed = 7;

task<void> append_after(virtual_scheduler& scheduler, duration delay, int value,
                        std::vector<int>& order) {
    co_await scheduler.sleep_for(delay);
    order.push_back(value);
}

task<void> throw_after(virtual_scheduler& scheduler, duration delay) {
    co_await scheduler.sleep_for(delay);
    throw std::runtime_error("broken");
}

/// Counts its living instances, to see that killed coroutines are destroyed.
struct counted {
    int& living;
    explicit counted(int& counter) : living(counter) { ++living; }
    counted(const counted&) = delete;
    ~counted() { --living; }
};

task<void> sleep_forever(virtual_scheduler& scheduler, int& living) {
    const counted guard(living);
    co_await scheduler.sleep_until(monotonic_time::max());
}

task<void> wait_on_timer(virtual_scheduler& scheduler, int& living) {
    const counted guard(living);
    boost::asio::steady_timer timer(scheduler.executor());
    timer.expires_at(boost::asio::steady_timer::time_point::max());
    co_await timer.async_wait(boost::asio::use_awaitable);
}

task<void> spawn_as_destroyed(virtual_scheduler& scheduler, int& living) {
    struct spawns_at_end {
        virtual_scheduler& scheduler;
        int& living;
        ~spawns_at_end() { scheduler.spawn("late", sleep_forever(scheduler, living)); }
    };
    const counted guard(living);
    const spawns_at_end last{scheduler, living};
    co_await scheduler.sleep_until(monotonic_time::max());
}

task<void> wander(virtual_scheduler& scheduler, int steps) {
    for (int step = 0; step < steps; ++step) {
        const auto delay = duration(static_cast<std::int64_t>(scheduler.random().below(1000)));
        co_await scheduler.sleep_for(delay);
        scheduler.time().record(std::to_string(step));
    }
}

std::uint64_t trace_of(std::uint64_t seed) {
    virtual_time time(seed);
    std::vector<std::unique_ptr<virtual_scheduler>> schedulers;
    for (int index = 0; index < 5; ++index) {
        schedulers.push_back(std::make_unique<virtual_scheduler>(time, time.random().next()));
        schedulers.back()->spawn("wander", wander(*schedulers.back(), 20));
    }
    time.run_until(monotonic_time(500ns));
    schedulers[1]->kill();
    schedulers[2]->pause();
    time.run_until(monotonic_time(2us));
    schedulers[2]->resume();
    time.run_until(monotonic_time(1s));
    return time.trace_hash();
}

}  // namespace

Test(virtual_scheduler, wakes_in_order_of_time_then_sequence) {
    virtual_time time(1);
    virtual_scheduler scheduler(time, process_seed);
    std::vector<int> order;
    scheduler.spawn("third", append_after(scheduler, 30ms, 3, order));
    scheduler.spawn("first", append_after(scheduler, 10ms, 1, order));
    scheduler.spawn("second", append_after(scheduler, 10ms, 2, order));
    time.run_until(monotonic_time(10ms));
    cr_assert(order == std::vector<int>({1, 2}));
    time.run_until(monotonic_time(1s));
    cr_assert(order == std::vector<int>({1, 2, 3}));
    cr_assert(time.now() == monotonic_time(1s));
}

Test(virtual_scheduler, reports_exceptions_of_spawned_coroutines) {
    virtual_time time(1);
    virtual_scheduler scheduler(time, process_seed);
    scheduler.spawn("breaks", throw_after(scheduler, 5ms));
    time.run_until(monotonic_time(1s));
    cr_assert_eq(time.failures().size(), 1U);
    cr_assert(time.failures().front().coroutine == "breaks");
    cr_assert(time.failures().front().message == "broken");
}

Test(virtual_scheduler, cancellation_ends_a_sleep_by_operation_aborted) {
    virtual_time time(1);
    virtual_scheduler scheduler(time, process_seed);
    boost::asio::cancellation_signal signal;
    std::optional<boost::system::error_code> ended;
    std::vector<int> order;
    boost::asio::co_spawn(
        scheduler.executor(), append_after(scheduler, 1h, 1, order),
        boost::asio::bind_cancellation_slot(signal.slot(), [&](const std::exception_ptr& failure) {
            try {
                std::rethrow_exception(failure);
            } catch (const boost::system::system_error& error) {
                ended = error.code();
            }
        }));
    time.at(monotonic_time(2s), scheduler.process(),
            [&] { signal.emit(boost::asio::cancellation_type::all); });
    time.at(monotonic_time(0s), scheduler.process(), [] {});
    time.run_until(monotonic_time(2s));
    cr_assert(ended.has_value());
    cr_assert(*ended == boost::asio::error::operation_aborted);
    time.run_until(monotonic_time(2h));
    cr_assert(order.empty());
}

Test(virtual_scheduler, paused_process_sleeps_late_while_its_clock_goes_on) {
    virtual_time time(1);
    virtual_scheduler scheduler(time, process_seed);
    std::vector<int> order;
    scheduler.spawn("late", append_after(scheduler, 10ms, 1, order));
    scheduler.spawn("later", append_after(scheduler, 20ms, 2, order));
    time.run_until(monotonic_time(5ms));
    scheduler.pause();
    time.run_until(monotonic_time(1s));
    cr_assert(order.empty());
    scheduler.resume();
    time.run_until(monotonic_time(1s));
    cr_assert(order == std::vector<int>({1, 2}));
    cr_assert(scheduler.now() == monotonic_time(1s));
}

Test(virtual_scheduler, killed_process_frees_its_coroutines_and_never_runs_again) {
    virtual_time time(1);
    int living = 0;
    std::vector<int> order;
    virtual_scheduler scheduler(time, process_seed);
    scheduler.spawn("sleeps", sleep_forever(scheduler, living));
    scheduler.spawn("timer", wait_on_timer(scheduler, living));
    scheduler.spawn("spawns", spawn_as_destroyed(scheduler, living));
    scheduler.spawn("later", append_after(scheduler, 10ms, 1, order));
    time.run_until(monotonic_time(1ms));
    cr_assert_eq(living, 3);
    scheduler.spawn("never started", sleep_forever(scheduler, living));
    scheduler.kill();
    cr_assert_eq(living, 0);
    time.run_until(monotonic_time(1s));
    cr_assert(order.empty());
    cr_assert(time.failures().empty());
}

Test(virtual_scheduler, drifting_clock_reaches_the_time_slept_for) {
    const bool held = rc::check("a sleep never ends early on its own clock", [] {
        const double rate = *rc::gen::inRange(900, 1100) / 1000.0;
        const duration delay(*rc::gen::inRange<std::int64_t>(0, 10'000'000'000));
        virtual_time time(1);
        virtual_scheduler scheduler(time, process_seed, clock_error{rate, 5s, {}});
        RC_ASSERT(scheduler.now() == monotonic_time(5s));
        const monotonic_time wanted = scheduler.now() + delay;
        std::vector<int> order;
        scheduler.spawn("sleeps", append_after(scheduler, delay, 1, order));
        while (order.empty()) {
            RC_ASSERT(time.run_next());
        }
        RC_ASSERT(scheduler.now() >= wanted);
        RC_ASSERT(scheduler.now() <= wanted + 2ns);
    });
    cr_assert(held);
}

Test(virtual_scheduler, same_seed_same_trace) {
    cr_assert_eq(trace_of(11), trace_of(11));
    cr_assert_neq(trace_of(11), trace_of(12));
}
