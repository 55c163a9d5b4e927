/// @file
/// Keeps the directory of back ends up to date: reads the machine list, polls engines for their
/// load and reads the cache events of the engines that this router owns.
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

/// Collaborators of the service; all must outlive it.
struct backend_service_collaborators {
    runtime::scheduler& scheduler;
    platform::machine_list& machines;
    engine::client& engines;
    backend_directory& directory;
    cache_event_sink& events;
};

/// Runs the loops that update the directory. Not thread safe: used from the event loop's thread
/// only. Must exist until the event loop has ended.
class backend_service {
  public:
    /// Returns whether this router currently has to read the engine's cache events.
    using ownership_predicate = std::function<bool(const base::engine_name&)>;

    backend_service(backend_service_collaborators collaborators, ownership_predicate is_owned,
                    tunables limits = {});

    /// Starts the service's loops.
    void start();
    /// Asks the loops to end. They end when they next wake up.
    void stop();

    /// Event counts for metrics and tests.
    struct counters {
        std::uint64_t lists_read = 0;
        std::uint64_t lists_failed = 0;
        std::uint64_t polls_sent = 0;
        std::uint64_t polls_failed = 0;
        std::uint64_t event_batches = 0;
    };
    const counters& counts() const { return counters_; }

  private:
    /// Where the next read of an engine's events starts.
    struct event_position {
        base::incarnation process;
        std::uint64_t next_sequence = 1;
    };

    runtime::task<void> read_lists();
    base::duration next_list_pause(const std::optional<base::duration>& retry_after);

    runtime::task<void> poll_engines();
    base::monotonic_time next_poll_time() const;
    /// Sends the load requests that are due, within the rate limit.
    void send_due_polls();
    /// Refills the rate limit's budget. @return how many requests may be sent now.
    std::size_t take_poll_budget();
    runtime::task<void> poll(poll_request request);

    runtime::task<void> read_owned_events();
    void drop_unowned_positions();
    runtime::task<void> read_events(base::engine_name engine);
    runtime::task<bool> read_batch(engine::engine_target target);

    backend_service_collaborators collaborators_;
    ownership_predicate is_owned_;
    tunables limits_;
    bool stopping_ = false;
    std::uint32_t consecutive_list_failures_ = 0;
    std::uint32_t polls_in_flight_ = 0;
    double poll_budget_ = 0;
    base::monotonic_time budget_at_{};
    std::set<base::engine_name> event_readers_;
    std::map<base::engine_name, event_position> positions_;  ///< For owned engines.
    counters counters_;
};

}  // namespace ferryroad::router::backends
