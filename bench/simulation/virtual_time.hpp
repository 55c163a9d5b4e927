/// @file
/// The one clock and event queue of a simulated run. Everything that happens in a run is an
/// event of this queue, so a seed decides the whole run.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::bench::simulation {

class virtual_scheduler;

/// One simulated process, never used twice: a restart is another process.
using process_id = base::strong_id<struct process_id_tag, std::uint64_t>;

/// An exception that left a spawned coroutine.
struct coroutine_failure {
    std::string coroutine;
    std::string message;
};

/// Events in order of (time, sequence). Single-threaded; several runs may go on in several
/// threads, each with its own. Outlives its schedulers.
class virtual_time {
  public:
    using action = std::function<void()>;

    explicit virtual_time(std::uint64_t seed);
    virtual_time(const virtual_time&) = delete;
    virtual_time& operator=(const virtual_time&) = delete;

    /// @return true time of the run, that no process sees.
    base::monotonic_time now() const { return now_; }
    /// @return the run's own random source, for networks and faults.
    base::random_source& random() { return random_; }

    /// Calls `work` at `when`, or now if that has passed, outside any process.
    void at(base::monotonic_time when, action work);
    void after(base::duration delay, action work) { at(now_ + delay, std::move(work)); }
    /// The same inside `process`, whose coroutines then run until all wait again. Dropped if
    /// the process has ended by then, and held back while it is paused.
    void at(base::monotonic_time when, process_id process, action work);

    /// Runs the next event. @return false where there is none.
    bool run_next();
    /// Runs every event up to and including `limit`; the time is `limit` afterwards.
    void run_until(base::monotonic_time limit);

    /// Adds a fact to the trace; two runs of one seed have the same trace.
    void record(std::string_view fact);
    /// @return hash over all events run and all facts recorded so far.
    std::uint64_t trace_hash() const { return trace_hash_; }
    std::uint64_t events_run() const { return events_run_; }

    /// @return exceptions that left coroutines, in order; a sound run has none.
    const std::vector<coroutine_failure>& failures() const { return failures_; }

  private:
    friend class virtual_scheduler;

    struct event_key {
        base::monotonic_time when;
        std::uint64_t sequence = 0;
        friend bool operator<(const event_key& left, const event_key& right) {
            return left.when != right.when ? left.when < right.when
                                           : left.sequence < right.sequence;
        }
    };
    struct event {
        process_id process;  ///< 0: outside any process.
        action work;
    };

    process_id add_process(virtual_scheduler& scheduler);
    void remove_process(process_id process);
    void report_failure(coroutine_failure failure);
    void run_in_process(event next);

    base::seeded_random random_;
    base::monotonic_time now_{};
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_process_ = 1;
    std::map<event_key, event> events_;
    std::map<process_id, virtual_scheduler*> processes_;
    std::uint64_t trace_hash_;
    std::uint64_t events_run_ = 0;
    std::vector<coroutine_failure> failures_;
};

}  // namespace ferryroad::bench::simulation
