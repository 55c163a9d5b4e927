#include "bench/simulation/virtual_scheduler.hpp"

#include <boost/asio/append.hpp>
#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <cmath>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

namespace ferryroad::bench::simulation {

namespace {

/// Calendar time at which every run starts, in milliseconds.
constexpr std::int64_t unix_start = 1'800'000'000'000;
/// Destructors of destroyed coroutines may queue work that is to be destroyed in its turn.
constexpr int shutdown_rounds = 3;

base::duration scaled(base::duration span, double factor) {
    return base::duration(std::llround(static_cast<double>(span.count()) * factor));
}

/// @return what to report of a coroutine's end, or nothing: cancellation is no failure.
std::string failure_message(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const boost::system::system_error& error) {
        const bool cancelled = error.code() == boost::asio::error::operation_aborted;
        return cancelled ? std::string() : error.what();
    } catch (const std::exception& error) {
        return error.what();
    }
}

}  // namespace

virtual_scheduler::virtual_scheduler(virtual_time& time, std::uint64_t seed, clock_error error)
    : time_(time),
      error_(error),
      started_(time.now()),
      random_(seed),
      process_(time.add_process(*this)),
      work_guard_(context_.get_executor()) {}

virtual_scheduler::~virtual_scheduler() {
    kill();
}

base::monotonic_time virtual_scheduler::now() const {
    const base::duration shown = scaled(time_.now() - started_, error_.rate);
    return base::monotonic_time(error_.monotonic_start + shown);
}

std::int64_t virtual_scheduler::unix_milliseconds() const {
    const base::duration since_start = time_.now().time_since_epoch() + error_.unix_offset;
    return unix_start + base::to_milliseconds(since_start);
}

base::monotonic_time virtual_scheduler::true_time(base::monotonic_time shown) const {
    const base::duration shown_span = shown.time_since_epoch() - error_.monotonic_start;
    base::monotonic_time due = started_ + scaled(shown_span, 1.0 / error_.rate);
    while (scaled(due - started_, error_.rate) < shown_span) {
        due += base::duration(1);
    }
    return due;
}

runtime::task<void> virtual_scheduler::sleep_until(base::monotonic_time when) {
    const wait_id id = begin_wait();
    // A deadline of "never" must not overflow; it is never reached either.
    constexpr base::duration longest_sleep = std::chrono::hours(24 * 365);
    const base::duration delay = when - now();
    const base::monotonic_time due =
        delay > longest_sleep ? time_.now() + longest_sleep : true_time(when);
    time_.at(due, process_, [this, id] { wake(id); });
    co_await wait(id);
}

void virtual_scheduler::spawn(std::string_view name, runtime::task<void> work) {
    if (killed_) {
        return;
    }
    boost::asio::co_spawn(context_, std::move(work),
                          [this, name = std::string(name)](const std::exception_ptr& failure) {
                              if (!failure) {
                                  return;
                              }
                              std::string message = failure_message(failure);
                              if (!message.empty()) {
                                  time_.report_failure({name, std::move(message)});
                              }
                          });
    if (!running_) {
        time_.at(time_.now(), process_, [] {});
    }
}

boost::asio::any_io_executor virtual_scheduler::executor() {
    return context_.get_executor();
}

base::random_source& virtual_scheduler::random() {
    return random_;
}

wait_id virtual_scheduler::begin_wait() {
    const wait_id id(next_wait_++);
    waits_.emplace(id, pending_wait{});
    return id;
}

/// Holds the handler by which Asio resumes the coroutine.
template <typename Handler>
class virtual_scheduler::suspended_handler final : public suspended_coroutine {
  public:
    suspended_handler(process_context& context, Handler handler)
        : context_(context), handler_(std::move(handler)) {}

    void resume_with(boost::system::error_code outcome) override {
        boost::asio::post(context_, boost::asio::append(std::move(handler_), outcome));
    }

  private:
    process_context& context_;
    Handler handler_;
};

runtime::task<void> virtual_scheduler::wait(wait_id id) {
    const auto start = [this, id](auto handler) { suspend(id, std::move(handler)); };
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                         void(boost::system::error_code)>(
        start, boost::asio::use_awaitable);
}

template <typename Handler>
void virtual_scheduler::suspend(wait_id id, Handler handler) {
    const auto found = waits_.find(id);
    if (found == waits_.end()) {
        throw std::logic_error("a wait is awaited twice");
    }
    auto slot = boost::asio::get_associated_cancellation_slot(handler);
    if (slot.is_connected()) {
        slot.assign([this, id](boost::asio::cancellation_type) {
            finish_wait(id, boost::asio::error::operation_aborted);
        });
    }
    found->second.coroutine =
        std::make_unique<suspended_handler<Handler>>(context_, std::move(handler));
    if (found->second.woken) {
        finish_wait(id, {});
    }
}

void virtual_scheduler::wake(wait_id id) {
    const auto found = waits_.find(id);
    if (found == waits_.end()) {
        return;
    }
    found->second.woken = true;
    if (found->second.coroutine) {
        finish_wait(id, {});
    }
}

void virtual_scheduler::finish_wait(wait_id id, boost::system::error_code outcome) {
    const auto found = waits_.find(id);
    if (found == waits_.end()) {
        return;
    }
    const auto coroutine = std::move(found->second.coroutine);
    waits_.erase(found);
    coroutine->resume_with(outcome);
}

void virtual_scheduler::run(std::function<void()> work) {
    if (killed_) {
        return;
    }
    if (paused_) {
        held_back_.push_back(std::move(work));
        return;
    }
    if (running_) {
        throw std::logic_error("an event of a process runs inside another of its events");
    }
    running_ = true;
    work();
    context_.restart();
    context_.poll();
    running_ = false;
}

void virtual_scheduler::pause() {
    paused_ = true;
}

void virtual_scheduler::resume() {
    paused_ = false;
    const auto due = std::exchange(held_back_, {});
    for (const auto& work : due) {
        time_.at(time_.now(), process_, work);
    }
}

void virtual_scheduler::kill() {
    if (killed_) {
        return;
    }
    if (running_) {
        throw std::logic_error("a process is killed from inside");
    }
    killed_ = true;
    time_.remove_process(process_);
    held_back_.clear();
    // A destroyed handler posts the unwinding of its coroutine, which the shutdown destroys.
    auto waits = std::exchange(waits_, {});
    waits.clear();
    for (int round = 0; round < shutdown_rounds; ++round) {
        context_.shutdown();
    }
}

}  // namespace ferryroad::bench::simulation
