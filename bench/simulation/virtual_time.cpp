#include "bench/simulation/virtual_time.hpp"

#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::bench::simulation {

virtual_time::virtual_time(std::uint64_t seed) : random_(seed), trace_hash_(seed) {}

void virtual_time::at(base::monotonic_time when, action work) {
    at(when, process_id(0), std::move(work));
}

void virtual_time::at(base::monotonic_time when, process_id process, action work) {
    const event_key key{std::max(when, now_), next_sequence_++};
    events_.emplace(key, event{process, std::move(work)});
}

bool virtual_time::run_next() {
    const auto first = events_.begin();
    if (first == events_.end()) {
        return false;
    }
    now_ = first->first.when;
    event next = std::move(first->second);
    events_.erase(first);
    ++events_run_;
    trace_hash_ = base::hash_pair(trace_hash_, now_.time_since_epoch().count());
    trace_hash_ = base::hash_pair(trace_hash_, next.process.value);
    if (next.process.value == 0) {
        next.work();
    } else {
        run_in_process(std::move(next));
    }
    return true;
}

void virtual_time::run_in_process(event next) {
    const auto found = processes_.find(next.process);
    if (found != processes_.end()) {
        found->second->run(std::move(next.work));
    }
}

void virtual_time::run_until(base::monotonic_time limit) {
    while (!events_.empty() && events_.begin()->first.when <= limit) {
        run_next();
    }
    now_ = std::max(now_, limit);
}

void virtual_time::record(std::string_view fact) {
    trace_hash_ = base::hash_bytes(fact, trace_hash_);
}

process_id virtual_time::add_process(virtual_scheduler& scheduler) {
    const process_id process(next_process_++);
    processes_.emplace(process, &scheduler);
    return process;
}

void virtual_time::remove_process(process_id process) {
    processes_.erase(process);
}

void virtual_time::report_failure(coroutine_failure failure) {
    failures_.push_back(std::move(failure));
}

}  // namespace ferryroad::bench::simulation
