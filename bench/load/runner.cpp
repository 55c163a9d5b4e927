#include "bench/load/runner.hpp"

#include <utility>

namespace ferryroad::bench::load {

namespace {

/// How often the end of the last request is looked for.
constexpr base::duration idle_check = std::chrono::milliseconds(5);

}  // namespace

runner::runner(runtime::scheduler& scheduler, caller& client, workload::generator& source,
               runner_options options)
    : scheduler_(scheduler), client_(client), source_(source), options_(std::move(options)) {
    progress_.requests = source_.source().requests;
}

runtime::task<std::vector<call_record>> runner::run() {
    if (options_.show_progress) {
        scheduler_.spawn("bench.progress", report_progress());
    }
    const workload::arrivals& arrival = source_.source().arrival;
    if (const auto* closed = std::get_if<workload::closed_arrivals>(&arrival)) {
        co_await run_closed(closed->concurrency);
    } else {
        co_await run_open();
    }
    co_await wait_idle();
    finished_ = true;
    if (options_.show_progress) {
        options_.show_progress(progress_);
    }
    co_return std::move(records_);
}

runtime::task<void> runner::run_open() {
    const base::monotonic_time start = scheduler_.now();
    while (auto request = source_.next()) {
        const base::monotonic_time at = start + request->at;
        co_await scheduler_.sleep_until(at);
        ++active_;
        scheduler_.spawn("bench.call", run_one(std::move(*request)));
    }
}

runtime::task<void> runner::run_closed(std::uint32_t concurrency) {
    for (std::uint32_t index = 0; index < concurrency; ++index) {
        ++active_;
        scheduler_.spawn("bench.caller", run_caller());
    }
    co_return;
}

runtime::task<void> runner::run_caller() {
    while (auto request = source_.next()) {
        ++active_;
        co_await run_one(std::move(*request));
    }
    --active_;
}

runtime::task<void> runner::run_one(workload::workload_request request) {
    ++progress_.sent;
    call_record record = co_await client_.call(std::move(request));
    count(record);
    records_.push_back(std::move(record));
    --active_;
}

runtime::task<void> runner::wait_idle() {
    while (active_ > 0) {
        co_await scheduler_.sleep_for(idle_check);
    }
}

runtime::task<void> runner::report_progress() {
    while (true) {
        co_await scheduler_.sleep_for(options_.progress_every);
        if (finished_) {
            co_return;
        }
        options_.show_progress(progress_);
    }
}

void runner::count(const call_record& record) {
    ++progress_.ended;
    if (record.answer == answer_state::wrong) {
        ++progress_.wrong;
    }
    if (record.outcome == call_outcome::complete) {
        ++progress_.complete;
    } else if (record.outcome == call_outcome::refused) {
        ++progress_.refused;
    } else {
        ++progress_.other;
    }
}

}  // namespace ferryroad::bench::load
