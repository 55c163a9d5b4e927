#include "ferryroad/runtime/asio_scheduler.hpp"

#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <string>
#include <utility>

namespace ferryroad::runtime {

asio_scheduler::asio_scheduler(boost::asio::io_context& context, std::uint64_t seed)
    : context_(context), random_(seed) {}

base::monotonic_time asio_scheduler::now() const {
    return base::monotonic_time(boot_clock::now().time_since_epoch());
}

std::int64_t asio_scheduler::unix_milliseconds() const {
    return base::to_milliseconds(std::chrono::system_clock::now().time_since_epoch());
}

task<void> asio_scheduler::sleep_until(base::monotonic_time when) {
    boot_timer timer(context_);
    timer.expires_at(boot_clock::time_point(when.time_since_epoch()));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void asio_scheduler::spawn(std::string_view name, task<void> work) {
    boost::asio::co_spawn(context_, std::move(work),
                          [name = std::string(name)](const std::exception_ptr& failure) {
                              if (failure) {
                                  log_exception(name, failure);
                              }
                          });
}

boost::asio::any_io_executor asio_scheduler::executor() {
    return context_.get_executor();
}

base::random_source& asio_scheduler::random() {
    return random_;
}

}  // namespace ferryroad::runtime
