/// @file
/// Maintains a local copy of a table of an external service: reads a snapshot, then follows the
/// table's changes, and reads a new snapshot when the changes it needs are no longer kept or some
/// could have been missed.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/coordination/reading/table_mirror.hpp"
#include "ferryroad/runtime/log.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

using coordination::reading::confirmation;
using coordination::reading::record;
using coordination::reading::record_batch;

enum class feed_fault {
    history_gone,  ///< The changes after the requested version are no longer kept.
    unavailable,   ///< No answer, or a refusal.
    no_source,     ///< As `unavailable`, but the sources keep all changes, so none are missed.
    malformed      ///< The answer is inconsistent.
};

/// Source of a table's rows. `read_all` reads a snapshot of a table; `read_changes` returns the
/// changes after a version, waiting up to `wait` for the first one. Both time out if nothing is
/// received for `limit`, but not while an answer is being received.
template <typename T>
concept record_feed = requires(T& feed, const std::string& table, std::uint64_t after,
                               base::duration wait, base::duration limit) {
    {
        feed.read_all(table, limit)
        } -> std::same_as<runtime::task<runtime::result<record_batch, feed_fault>>>;
    {
        feed.read_changes(table, after, wait, limit)
        } -> std::same_as<runtime::task<runtime::result<record_batch, feed_fault>>>;
};

struct follower_settings {
    std::string table;
    base::duration wait{};  ///< How long one call may wait for changes.
    base::duration pace{};  ///< Minimum time between the starts of two calls.
    /// `pace` for the first `first_calls` calls, while the table fills because all routers start.
    base::duration first_pace{};
    std::uint32_t first_calls = 0;
    base::duration call_limit = std::chrono::milliseconds(500);  ///< Call timeout beyond `wait`.
    /// Only rows whose key begins with one of these are kept; empty to keep all.
    std::vector<std::string> key_prefixes;
    /// Recognizes changes that need not be passed on to other routers; if empty, all are passed on.
    coordination::reading::same_meaning same_meaning;
    base::duration first_backoff = std::chrono::milliseconds(100);
    base::duration max_backoff = std::chrono::milliseconds(400);
    /// Consecutive failed calls after which the loss of the table is logged.
    std::uint32_t faults_until_lost = 2;
};

/// Callbacks of the follower, called on the event loop's thread.
struct follower_events {
    /// A snapshot replaces the copy.
    std::function<void(const std::vector<record>&)> on_snapshot;
    std::function<void(const record&)> on_change;  ///< A row was put or deleted.
    /// All changes accepted before the confirmation's time have been reported.
    std::function<void(const confirmation&)> on_confirmed;
};

/// Must exist until the event loop has ended. The feed and the scheduler must outlive it.
template <record_feed Feed>
class table_follower {
  public:
    table_follower(runtime::scheduler& scheduler, Feed& feed, follower_settings settings,
                   follower_events events)
        : m_scheduler(scheduler),
          m_feed(feed),
          m_settings(std::move(settings)),
          m_events(std::move(events)),
          m_copy(m_settings.same_meaning),
          m_backoff(m_settings.first_backoff) {}

    /// Starts following. Must be called at most once.
    void start() { m_scheduler.spawn(component, run()); }
    /// Ends following after the call in progress.
    void stop() { m_stopped = true; }
    const follower_settings& settings() const { return m_settings; }
    /// @return the copy of the table, for serving it to other routers.
    const coordination::reading::table_mirror& copy() const { return m_copy; }

  private:
    static constexpr std::string_view component = "relay.follower";

    runtime::task<void> run() {
        while (!m_stopped) {
            const base::monotonic_time asked_at = m_scheduler.now();
            const bool succeeded =
                m_loaded ? co_await read_changes(asked_at) : co_await read_snapshot(asked_at);
            const base::duration delay = succeeded ? current_pace() : jittered_backoff();
            const base::monotonic_time next = asked_at + delay;
            if (next > m_scheduler.now()) {
                co_await m_scheduler.sleep_until(next);
            }
        }
    }

    runtime::task<bool> read_snapshot(base::monotonic_time asked_at) {
        auto batch = co_await m_feed.read_all(m_settings.table, m_settings.call_limit);
        if (!batch) {
            record_fault(batch.error());
            co_return false;
        }
        if (batch->version < m_copy.version()) {
            record_fault(feed_fault::malformed);  // Older than what was reported.
            co_return false;
        }
        remove_unwanted(batch->records);
        m_copy.replace(batch->records, batch->version);
        m_events.on_snapshot(batch->records);
        m_loaded = true;
        accept(*batch, asked_at);
        co_return true;
    }

    /// @return whether the next call may follow without a backoff.
    runtime::task<bool> read_changes(base::monotonic_time asked_at) {
        const base::duration limit = m_settings.wait + m_settings.call_limit;
        auto batch = co_await m_feed.read_changes(m_settings.table, m_copy.version(),
                                                  m_settings.wait, limit);
        if (!batch) {
            // Changes could be missed while the feed is broken, so a snapshot is needed.
            m_loaded = batch.error() == feed_fault::no_source;
            record_fault(batch.error());
            co_return batch.error() == feed_fault::history_gone;
        }
        if (batch->version < m_copy.version()) {
            m_loaded = false;
            record_fault(feed_fault::malformed);
            co_return false;
        }
        remove_unwanted(batch->records);
        for (const record& one : batch->records) {
            m_copy.change(one);
            m_events.on_change(one);
        }
        accept(*batch, asked_at);
        co_return true;
    }

    void accept(const record_batch& batch, base::monotonic_time asked_at) {
        // Another router's answer may be wrong: the owner cannot have been asked after now.
        const base::monotonic_time as_of =
            std::min(asked_at + batch.owner_asked_after, m_scheduler.now());
        const confirmation current{batch.version, as_of, batch.owner_time};
        m_copy.confirm(current);
        m_backoff = m_settings.first_backoff;
        if (m_faults >= m_settings.faults_until_lost) {
            runtime::log(runtime::log_level::info, component, "table source regained",
                         {{"table", m_settings.table}, {"version", version_text()}});
        }
        m_faults = 0;
        m_events.on_confirmed(current);
    }

    base::duration current_pace() {
        const bool is_first = m_successful_calls < m_settings.first_calls;
        ++m_successful_calls;
        return is_first ? m_settings.first_pace : m_settings.pace;
    }

    void remove_unwanted(std::vector<record>& records) const {
        std::erase_if(records, [&](const record& one) { return !is_wanted(one.key); });
    }

    bool is_wanted(const std::string& key) const {
        const auto& prefixes = m_settings.key_prefixes;
        return prefixes.empty() ||
               std::any_of(prefixes.begin(), prefixes.end(),
                           [&](const std::string& one) { return key.starts_with(one); });
    }

    std::string version_text() const { return std::to_string(m_copy.version()); }

    static std::string name_of(feed_fault fault) {
        const bool no_answer = fault == feed_fault::unavailable || fault == feed_fault::no_source;
        return no_answer ? "unavailable" : "stale";
    }

    void record_fault(feed_fault fault) {
        ++m_faults;
        if (m_faults != m_settings.faults_until_lost) {
            return;
        }
        runtime::log(
            runtime::log_level::warning, component, "table source lost; keeping the last copy",
            {{"table", m_settings.table}, {"version", version_text()}, {"fault", name_of(fault)}});
    }

    base::duration jittered_backoff() {
        const base::duration delay = m_backoff;
        m_backoff = std::min(2 * m_backoff, m_settings.max_backoff);
        return base::from_seconds(base::to_seconds(delay) * (0.5 + m_scheduler.random().unit()));
    }

    runtime::scheduler& m_scheduler;
    Feed& m_feed;
    follower_settings m_settings;
    follower_events m_events;
    coordination::reading::table_mirror m_copy;
    base::duration m_backoff;
    std::uint32_t m_faults = 0;
    std::uint32_t m_successful_calls = 0;
    bool m_loaded = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
