/// @file
/// The event loop of one subcommand.
#pragma once

#include "ferryroad/runtime/asio_scheduler.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace ferryroad::bench::commands {

/// Runs coroutines until the first has ended.
class event_loop {
  public:
    explicit event_loop(std::uint64_t seed = 1) : scheduler_(context_, seed) {}

    runtime::scheduler& scheduler() { return scheduler_; }

    void run(runtime::task<void> work) {
        scheduler_.spawn("bench.main", run_to_end(std::move(work)));
        context_.run();
    }

  private:
    runtime::task<void> run_to_end(runtime::task<void> work) {
        co_await std::move(work);
        context_.stop();
    }

    boost::asio::io_context context_;
    runtime::asio_scheduler scheduler_;
};

}  // namespace ferryroad::bench::commands
