/// @file
/// Reads rows of a table that are written under keys in the order of time: all recent ones when a
/// router starts, and later, on demand, those written since. One read at a time serves all who
/// wait.
#pragma once

#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace ferryroad::relay {

struct stored_row_reader_settings {
    /// How old the rows are at the most that the first read includes.
    base::duration first_span = std::chrono::seconds(65);
    /// Least time between the starts of two reads.
    base::duration period = std::chrono::milliseconds(200);
    /// Time between a failed read and the next one while nobody waits, as all routers of a fleet
    /// may read a table that refuses their calls.
    base::duration retry = std::chrono::seconds(1);
    /// How much further back than to the previous read a read goes: the time for which a
    /// transaction may be in progress, and the inaccuracy of the table's clock.
    base::duration overlap = std::chrono::seconds(3);
    std::uint32_t page_rows = 500;
    /// Most pages of one read. The next one carries on if there are more.
    std::size_t max_pages = 100;
    /// Least time between two log entries about failures.
    base::duration log_period = std::chrono::seconds(5);
};

struct stored_row_counters {
    std::uint64_t calls = 0;     ///< Pages asked for.
    std::uint64_t failures = 0;  ///< Pages that were not obtained.
};

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it, and it must outlive its pending calls.
class stored_row_reader {
  public:
    /// Receives a page of rows: those written recently, and all whose keys are greater.
    using row_handler = std::function<void(const std::vector<platform::row>&)>;

    stored_row_reader(runtime::scheduler& scheduler, platform::table& table,
                      const owner_clock& clock, row_handler handler,
                      stored_row_reader_settings settings = {});

    /// Begins a read unless one is about to begin. If it fails, it is repeated as long as no read
    /// has succeeded or a call of `refresh` waits.
    void request();
    /// Reads the rows that were written recently.
    /// @return whether a read that began after the call was complete within `timeout`.
    runtime::task<bool> refresh(base::duration timeout);
    /// @return whether a read has been complete.
    bool has_read() const { return m_complete_from.has_value(); }
    void stop() { m_stopped = true; }
    const stored_row_counters& counters() const { return m_counters; }

  private:
    class waiting_call;

    runtime::task<void> run();
    runtime::task<bool> read_rows();
    bool is_complete_since(base::monotonic_time asked) const {
        return m_complete_from && *m_complete_from >= asked;
    }
    platform::row_key first_key() const;
    void log_failure(const platform::error& failure);

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    const owner_clock& m_clock;
    row_handler m_handler;
    stored_row_reader_settings m_settings;
    bool m_running = false;
    bool m_wanted = false;
    bool m_stopped = false;
    base::monotonic_time m_next_start{};
    /// Start of the last complete read.
    std::optional<base::monotonic_time> m_complete_from;
    std::optional<platform::row_key> m_next_key;  ///< Where a read goes on that was not complete.
    std::set<runtime::boot_timer*> m_waiting;
    std::optional<base::monotonic_time> m_logged_at;
    stored_row_counters m_counters;
};

}  // namespace ferryroad::relay
