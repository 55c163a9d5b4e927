/// @file
/// Drives a workload against a running system: open or closed loop, with progress.
#pragma once

#include "bench/load/caller.hpp"
#include "bench/load/record.hpp"
#include "bench/workload/generator.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace ferryroad::bench::load {

/// Counts so far.
struct progress {
    std::uint64_t requests = 0;  ///< Of the whole run.
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t other = 0;  ///< Cut, failed or not sent.
    std::uint64_t wrong = 0;
};

struct runner_options {
    base::duration progress_every = std::chrono::seconds(1);
    std::function<void(const progress&)> show_progress;
};

/// Sends all requests of one workload. Used from the event loop's thread.
class runner {
  public:
    /// All outlive the runner.
    runner(runtime::scheduler& scheduler, caller& client, workload::generator& source,
           runner_options options);

    /// @return the records in order of their ends, once every request has ended.
    runtime::task<std::vector<call_record>> run();

  private:
    runtime::task<void> run_open();
    runtime::task<void> run_closed(std::uint32_t concurrency);
    runtime::task<void> run_caller();
    runtime::task<void> run_one(workload::workload_request request);
    runtime::task<void> wait_idle();
    runtime::task<void> report_progress();
    void count(const call_record& record);

    runtime::scheduler& scheduler_;
    caller& client_;
    workload::generator& source_;
    runner_options options_;
    std::uint64_t active_ = 0;
    bool finished_ = false;
    progress progress_;
    std::vector<call_record> records_;
};

}  // namespace ferryroad::bench::load
