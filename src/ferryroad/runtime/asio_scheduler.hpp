/// @file
/// The scheduler of real processes: real time on one `io_context`.
#pragma once

#include "ferryroad/runtime/scheduler.hpp"

#include <boost/asio/io_context.hpp>

namespace ferryroad::runtime {

/// Scheduler on an `io_context` that the caller owns and runs in one thread.
class asio_scheduler final : public scheduler {
  public:
    /// @param context must outlive the scheduler.
    /// @param seed seed of the random source.
    asio_scheduler(boost::asio::io_context& context, std::uint64_t seed);

    base::monotonic_time now() const override;
    std::int64_t unix_milliseconds() const override;
    task<void> sleep_until(base::monotonic_time when) override;
    void spawn(std::string_view name, task<void> work) override;
    boost::asio::any_io_executor executor() override;
    base::random_source& random() override;

  private:
    boost::asio::io_context& context_;
    base::seeded_random random_;
};

}  // namespace ferryroad::runtime
