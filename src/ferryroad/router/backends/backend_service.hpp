/// @file
/// Keeps the directory of back ends up to date: reads the machine list, asks engines for their
/// load, reads cache events of the engines that this router owns.
#pragma once

#include "ferryroad/engine/client.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/backends/backend_directory.hpp"
#include "ferryroad/router/backends/cache_event_sink.hpp"
#include "ferryroad/router/backends/tunables.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace ferryroad::router::backends {

/// What the service works on; all outlive it.
struct backend_neighbours {
    runtime::scheduler& scheduler;
    platform::machine_list& machines;
    engine::client& engines;
    backend_directory& directory;
    cache_event_sink& events;
};

/// Used from the event loop's thread; kept until the loop has ended.
class backend_service {
  public:
    /// Whether this router reads that engine's cache events now.
    using ownership = std::function<bool(const base::engine_name&)>;

    backend_service(backend_neighbours neighbours, ownership owns, tunables limits = {});

    /// Starts the service's loops.
    void start();
    /// Ends them soon: no new request leaves.
    void stop();

    /// Counts, for metrics and tests.
    struct counters {
        std::uint64_t lists_read = 0;
        std::uint64_t lists_failed = 0;
        std::uint64_t polls_sent = 0;
        std::uint64_t polls_failed = 0;
        std::uint64_t event_batches = 0;
    };
    const counters& counts() const { return counters_; }

  private:
    /// Up to where an engine's events were read.
    struct event_position {
        base::incarnation process;
        std::uint64_t next_sequence = 1;
    };

    runtime::task<void> read_lists();
    base::duration next_list_pause(const std::optional<base::duration>& retry_after);

    runtime::task<void> poll_engines();
    base::monotonic_time next_poll_time() const;
    /// Sends the load requests that are due, as far as their rate allows.
    void send_due_polls();
    std::size_t take_poll_budget();
    runtime::task<void> poll(poll_order order);

    runtime::task<void> follow_owned();
    void drop_disowned();
    runtime::task<void> read_events(base::engine_name engine);
    runtime::task<bool> read_batch(engine::engine_target target);

    backend_neighbours with_;
    ownership owns_;
    tunables limits_;
    bool stopping_ = false;
    std::uint32_t lists_failed_in_a_row_ = 0;
    std::uint32_t polls_under_way_ = 0;
    double poll_budget_ = 0;
    base::monotonic_time budget_at_{};
    std::set<base::engine_name> event_readers_;
    std::map<base::engine_name, event_position> positions_;  ///< Of owned engines.
    counters counters_;
};

}  // namespace ferryroad::router::backends
