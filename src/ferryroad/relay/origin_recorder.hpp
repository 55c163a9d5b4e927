/// @file
/// Writes origins of streams to a table, for all routers of a region: many in one transaction, so
/// that the number of writes doesn't grow with that of streams. Removes what is no longer needed.
#pragma once

#include "ferryroad/coordination/stream/stream_origin.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

struct origin_recorder_settings {
    /// Least time between the starts of two transactions.
    base::duration min_interval = std::chrono::milliseconds(20);
    /// Time between a failed transaction and the next one.
    base::duration retry = std::chrono::milliseconds(200);
    /// Most bytes of a row.
    std::size_t max_row_bytes = 65'536;
    /// Most origins in a transaction.
    std::size_t max_batch = 1'000;
    /// Most origins that wait; further ones are not stored.
    std::size_t max_waiting = 20'000;
    /// How long origins are needed.
    base::duration retention = std::chrono::seconds(60);
    /// How much longer rows are kept, for the inaccuracy of the table's clock.
    base::duration removal_margin = std::chrono::seconds(5);
    /// Time between two searches for rows that are no longer needed.
    base::duration removal_period = std::chrono::seconds(30);
    /// The same if the last search found more than it could remove.
    base::duration short_removal_period = std::chrono::seconds(1);
    /// Most rows removed in a transaction.
    std::size_t max_removed = 90;
    /// Least time between two log entries about failures.
    base::duration log_period = std::chrono::seconds(5);
};

struct origin_recorder_counters {
    std::uint64_t stored = 0;   ///< Origins whose transaction has committed.
    std::uint64_t dropped = 0;  ///< Origins that were not stored as too many waited.
    std::uint64_t batches = 0;  ///< Transactions, failed ones included.
    std::uint64_t failed_batches = 0;
    std::uint64_t removed_rows = 0;
    std::uint64_t calls = 0;  ///< Calls of the table.
};

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it.
class origin_recorder {
  public:
    /// Called once the origin's transaction has committed.
    using stored_handler = std::function<void()>;

    origin_recorder(runtime::scheduler& scheduler, platform::table& table, const owner_clock& clock,
                    base::router_name self, origin_recorder_settings settings = {});

    /// Begins to remove rows while this router is the recorder. Must be called at most once.
    void start();
    void stop() { m_stopped = true; }
    /// Sets whether this router is the recorder of its region and so removes rows, those of its
    /// predecessors, too. Any router writes what it is asked to.
    void set_removes(bool removes) { m_removes = removes; }
    /// Stores an origin with the next transaction.
    void store(const coordination::stream::aged_origin& recorded, stored_handler handler);
    const origin_recorder_counters& counters() const { return m_counters; }

  private:
    struct waiting_origin {
        coordination::stream::stream_origin origin;
        base::monotonic_time began_at{};
        stored_handler handler;
    };

    runtime::task<void> write_batches();
    runtime::task<bool> write_batch();
    std::vector<waiting_origin> take_batch();
    platform::transaction transaction_for(const std::vector<waiting_origin>& batch) const;
    runtime::task<void> remove_periodically();
    /// @return the number of rows removed.
    runtime::task<std::size_t> remove_old_rows();
    void log_failure(std::string_view operation, const platform::error& failure);

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    const owner_clock& m_clock;
    base::router_name m_self;
    origin_recorder_settings m_settings;
    std::deque<waiting_origin> m_waiting;
    bool m_writing = false;
    bool m_removes = false;
    bool m_stopped = false;
    std::optional<base::monotonic_time> m_logged_at;
    origin_recorder_counters m_counters;
};

}  // namespace ferryroad::relay
