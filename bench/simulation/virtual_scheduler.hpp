/// @file
/// A process's scheduler under virtual time: the real services run on it unchanged.
#pragma once

#include "bench/simulation/virtual_time.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace ferryroad::bench::simulation {

/// How a process's clocks differ from the run's.
struct clock_error {
    double rate = 1.0;                 ///< Seconds shown for one true second.
    base::duration monotonic_start{};  ///< Shown as the process starts.
    base::duration unix_offset{};      ///< Added to the calendar clock.
};

/// Names one wait of one coroutine; see `virtual_scheduler::wait`.
using wait_id = base::strong_id<struct wait_id_tag, std::uint64_t>;

/// One process: an `io_context` that is only polled, and never sees real time.
class virtual_scheduler final : public runtime::scheduler {
  public:
    /// @param time outlives the scheduler. @param seed of the process's random source.
    virtual_scheduler(virtual_time& time, std::uint64_t seed, clock_error error = {});
    virtual_scheduler(const virtual_scheduler&) = delete;
    virtual_scheduler& operator=(const virtual_scheduler&) = delete;
    /// Kills the process first. What its coroutines refer to must still stand, so owners
    /// that destroy services before the scheduler call `kill` themselves.
    ~virtual_scheduler() override;

    base::monotonic_time now() const override;
    std::int64_t unix_milliseconds() const override;
    runtime::task<void> sleep_until(base::monotonic_time when) override;
    /// Starts the coroutine when the caller's event has run, or as an event of its own where
    /// called from outside the process. An exception is reported to `virtual_time`.
    void spawn(std::string_view name, runtime::task<void> work) override;
    boost::asio::any_io_executor executor() override;
    base::random_source& random() override;

    process_id process() const { return process_; }
    virtual_time& time() { return time_; }

    /// Begins a wait that `wake` ends, before or after `wait` is awaited.
    wait_id begin_wait();
    /// Suspends until `wake(id)`. Asio cancellation ends it by operation_aborted.
    runtime::task<void> wait(wait_id id);
    /// Ends a wait; ended or unknown ones are ignored. From inside the process.
    void wake(wait_id id);

    /// Calls `work` inside the process and runs its coroutines until all of them wait. Held
    /// back while paused, ignored once killed. Called by `virtual_time` and by tests.
    void run(std::function<void()> work);

    /// Stops the process as SIGSTOP does: its clocks go on, nothing in it runs.
    void pause();
    /// Runs what came due during the pause, in its order.
    void resume();
    bool paused() const { return paused_; }

    /// Ends the process as SIGKILL does: its coroutines are destroyed where they stand and
    /// nothing of it runs again. Not from inside the process. The services still stand.
    void kill();
    bool killed() const { return killed_; }

  private:
    /// Opens the shutdown of `io_context`, which destroys every suspended coroutine.
    class process_context : public boost::asio::io_context {
      public:
        process_context() : io_context(1) {}
        using execution_context::shutdown;
    };

    /// A coroutine suspended in `wait`; destroying it unfinished destroys the coroutine.
    class suspended_coroutine {
      public:
        virtual ~suspended_coroutine() = default;
        virtual void resume_with(boost::system::error_code outcome) = 0;
    };
    template <typename Handler>
    class suspended_handler;

    struct pending_wait {
        std::unique_ptr<suspended_coroutine> coroutine;  ///< Null until awaited.
        bool woken = false;
    };

    template <typename Handler>
    void suspend(wait_id id, Handler handler);
    void finish_wait(wait_id id, boost::system::error_code outcome);
    /// @return the true time at which this process's clock shows `shown`, rounded up.
    base::monotonic_time true_time(base::monotonic_time shown) const;

    virtual_time& time_;
    clock_error error_;
    base::monotonic_time started_;
    base::seeded_random random_;
    process_id process_;
    process_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    std::map<wait_id, pending_wait> waits_;
    std::uint64_t next_wait_ = 1;
    std::vector<std::function<void()>> held_back_;
    bool running_ = false;
    bool paused_ = false;
    bool killed_ = false;
};

}  // namespace ferryroad::bench::simulation
