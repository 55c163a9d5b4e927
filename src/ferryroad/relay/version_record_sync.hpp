/// @file
/// Keeps a stored record of the software versions of each pool's engines, and this router's copy of
/// it. A few routers write it where it differs from the engine list; all others read it. Streams
/// begin only at versions that the record names, so that it proves where no stream can have begun.
#pragma once

#include "ferryroad/coordination/stream/version_record.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/naming_record_sync.hpp"
#include "ferryroad/relay/stored_row_reader.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace ferryroad::relay {

struct version_record_settings {
    /// Time between two comparisons of the records with the engine list.
    base::duration check_period = std::chrono::milliseconds(100);
    /// A writer waits this much longer than the one ranked before it, which may have ended.
    base::duration rank_delay = std::chrono::milliseconds(500);
    /// Time between a failed write and the next attempt.
    base::duration retry = std::chrono::milliseconds(500);
    /// Times that a conflicting write is applied to the current record before the next comparison.
    std::size_t max_conflicts = 3;
    /// A writer adds no version to a record for this long after its start. If all routers were
    /// restarted, the record still tells meanwhile at which versions streams had begun before.
    base::duration addition_delay = std::chrono::seconds(5);
    /// Time from when a record differs from the engine list until it is read: a writer is expected
    /// to have written it by then.
    base::duration first_read_delay = std::chrono::milliseconds(300);
    /// Time between two reads while a record differs from the engine list.
    base::duration read_period = std::chrono::seconds(1);
    /// The same for each router, so that the reads of a large fleet are bounded.
    base::duration read_period_per_router = std::chrono::milliseconds(10);
    /// An engine list that was confirmed longer ago is not recorded.
    base::duration max_list_age = std::chrono::seconds(3);
    /// Least time between two log entries about failures.
    base::duration log_period = std::chrono::seconds(5);
};

struct version_record_counters {
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t failures = 0;  ///< Writes that failed or are unconfirmed, and malformed rows.
};

/// Keys of all rows with version records begin with it. They are greater than those of rows with
/// origins.
inline constexpr std::string_view version_record_prefix = "versions/";

/// Must be used on the event loop's thread and must exist until the loop has ended. The objects
/// passed to the constructor must outlive it.
class version_record_sync {
  public:
    /// @param reader passes the rows to `learn`. Nothing is written before it has read all.
    version_record_sync(runtime::scheduler& scheduler, platform::table& table,
                        const owner_clock& clock, const engine_registry& registry,
                        stored_row_reader& reader, version_record_settings settings = {});

    /// @param rank of this router among the writers; nothing if it doesn't write.
    /// @param routers present routers.
    void set_rank(std::optional<std::size_t> rank, std::size_t routers);
    /// Begins to compare and write. Must be called at most once.
    void start();
    void stop() { m_stopped = true; }
    /// Records a row that was read.
    /// @pre the key begins with `version_record_prefix`.
    void learn(const platform::row& row);

    /// @return whether the pool has a record, as far as is known here.
    bool has_record(const base::pool_name& pool) const { return m_known.contains(pool); }
    /// @return the only version that the pool's engines have had within the time before `now`,
    /// according to its record.
    std::optional<coordination::stream::software_version> sole_version(
        const base::pool_name& pool, base::duration within, base::monotonic_time now) const;
    /// @return whether streams of the pool begin only at the versions that its record names. Not
    /// so without a record, and once most of the engines that may begin requests have other
    /// versions: the record can't be written then, and the few others would be overloaded.
    bool is_followed(const base::pool_name& pool) const;
    /// @return the versions at which streams of the pool may begin; nothing if at all listed ones.
    std::optional<std::set<coordination::stream::software_version>> versions_to_begin_at(
        const base::pool_name& pool) const;
    const version_record_counters& counters() const { return m_counters; }

  private:
    using version_set = std::set<coordination::stream::software_version>;

    struct known_record {
        platform::row_version version;
        /// Nothing if the row is malformed.
        std::optional<coordination::stream::version_record> record;
    };

    runtime::task<void> run();
    runtime::task<void> check_pools();
    runtime::task<void> write(base::pool_name pool);
    /// @return the versions that the list names; empty if the pool has no engines.
    version_set listed_versions(const base::pool_name& pool) const;
    bool is_recorded(const base::pool_name& pool, const version_set& versions) const;
    /// @return the record of the pool; null if none is known, or it is malformed.
    const coordination::stream::version_record* find_record(const base::pool_name& pool) const;
    bool may_write(base::monotonic_time differs_since) const;
    /// @return whether `versions` has one that may not be added to the pool's record yet.
    bool is_addition_delayed(const base::pool_name& pool, const version_set& versions) const;
    /// @return since when the record of the pool has differed from the engine list.
    base::monotonic_time record_difference(const base::pool_name& pool, const version_set& listed);
    void request_read();
    void adopt(const base::pool_name& pool, known_record current, std::string_view source);
    void log_failure(const base::pool_name& pool, std::string_view error);

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    const owner_clock& m_clock;
    const engine_registry& m_registry;
    stored_row_reader& m_reader;
    version_record_settings m_settings;
    std::optional<std::size_t> m_rank;
    std::size_t m_routers = 1;
    bool m_stopped = false;
    std::map<base::pool_name, known_record> m_known;
    /// Since when the record of a pool has differed from the engine list.
    std::map<base::pool_name, base::monotonic_time> m_differs_since;
    base::monotonic_time m_started_at{};
    base::monotonic_time m_next_read{};
    base::monotonic_time m_next_write{};
    std::optional<base::monotonic_time> m_logged_at;
    version_record_counters m_counters;
};

}  // namespace ferryroad::relay
