/// @file
/// Keeps a copy of an outside table fresh: reads it whole, then follows its changes, and reads
/// it whole again whenever the history it would need is gone or the copy could be behind.
#pragma once

#include "ferryroad/base/time.hpp"
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

/// One row of a followed table.
struct record {
    std::string key;
    std::string value;
    std::uint64_t version = 0;  ///< From one counter that rises with every change.
    bool deleted = false;

    friend bool operator==(const record&, const record&) = default;
};

/// Rows, and the version up to which they are complete.
struct record_batch {
    std::vector<record> records;
    std::uint64_t version = 0;
    std::chrono::milliseconds owner_time{};  ///< The owner's steady clock, as it answered.

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

enum class feed_fault {
    history_gone,  ///< The changes since then are no longer kept.
    unavailable,   ///< No answer, or a refusal.
    malformed      ///< An answer that makes no sense.
};

/// `read_all` reads a table as of one moment; `read_changes` answers what changed after a
/// version, waiting up to `wait` for something. Both give up after `limit`.
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
    base::duration wait{};  ///< For changes, in one call.
    base::duration pace{};  ///< Between the starts of two calls, at least.
    base::duration call_limit = std::chrono::milliseconds(500);  ///< Beyond `wait`.
    base::duration first_backoff = std::chrono::milliseconds(100);
    base::duration longest_backoff = std::chrono::milliseconds(400);
    /// Consecutive faults after which the dependency counts as lost.
    std::uint32_t faults_until_lost = 2;
};

/// What the follower tells. Called on the event loop's thread.
struct follower_events {
    std::function<void(const std::vector<record>&)> whole;  ///< All there is.
    std::function<void(const record&)> changed;             ///< Put or deleted.
    /// Everything accepted before `asked_at` has been told; the owner's clock showed `owner_time`
    /// between then and now.
    std::function<void(base::monotonic_time asked_at, std::chrono::milliseconds owner_time)>
        confirmed;
};

/// Kept until the loop has ended. Feed and scheduler outlive it.
template <record_feed Feed>
class table_follower {
  public:
    table_follower(runtime::scheduler& scheduler, Feed& feed, follower_settings settings,
                   follower_events events)
        : m_scheduler(scheduler),
          m_feed(feed),
          m_settings(std::move(settings)),
          m_events(std::move(events)),
          m_backoff(m_settings.first_backoff) {}

    /// Called once.
    void start() { m_scheduler.spawn(component, run()); }
    void stop() { m_stopped = true; }
    /// @return calls made so far.
    std::uint64_t calls() const { return m_calls; }

  private:
    static constexpr std::string_view component = "relay.follower";

    runtime::task<void> run() {
        while (!m_stopped) {
            const base::monotonic_time asked_at = m_scheduler.now();
            const bool sound = m_whole ? co_await follow(asked_at) : co_await load(asked_at);
            const base::duration rest = sound ? m_settings.pace : jittered_backoff();
            const base::monotonic_time next = asked_at + rest;
            if (next > m_scheduler.now()) {
                co_await m_scheduler.sleep_until(next);
            }
        }
    }

    runtime::task<bool> load(base::monotonic_time asked_at) {
        ++m_calls;
        const auto batch = co_await m_feed.read_all(m_settings.table, m_settings.call_limit);
        if (!batch) {
            note_fault(batch.error());
            co_return false;
        }
        if (batch->version < m_version) {
            note_fault(feed_fault::malformed);  // Older than what was told before.
            co_return false;
        }
        m_events.whole(batch->records);
        m_whole = true;
        take(*batch, asked_at);
        co_return true;
    }

    runtime::task<bool> follow(base::monotonic_time asked_at) {
        ++m_calls;
        const base::duration limit = m_settings.wait + m_settings.call_limit;
        const auto batch =
            co_await m_feed.read_changes(m_settings.table, m_version, m_settings.wait, limit);
        if (!batch) {
            m_whole = false;  // Changes may pass unseen while the feed is broken.
            note_fault(batch.error());
            co_return batch.error() == feed_fault::history_gone;
        }
        if (batch->version < m_version) {
            m_whole = false;
            note_fault(feed_fault::malformed);
            co_return false;
        }
        for (const record& one : batch->records) {
            m_events.changed(one);
        }
        take(*batch, asked_at);
        co_return true;
    }

    void take(const record_batch& batch, base::monotonic_time asked_at) {
        m_version = batch.version;
        m_backoff = m_settings.first_backoff;
        if (m_faults >= m_settings.faults_until_lost) {
            runtime::log(runtime::log_level::info, component, "dependency regained",
                         {{"table", m_settings.table}, {"version", std::to_string(m_version)}});
        }
        m_faults = 0;
        m_events.confirmed(asked_at, batch.owner_time);
    }

    void note_fault(feed_fault fault) {
        ++m_faults;
        if (m_faults != m_settings.faults_until_lost) {
            return;
        }
        runtime::log(runtime::log_level::warning, component, "dependency lost",
                     {{"table", m_settings.table},
                      {"version", std::to_string(m_version)},
                      {"fault", fault == feed_fault::unavailable ? "unavailable" : "stale"}});
    }

    base::duration jittered_backoff() {
        const base::duration delay = m_backoff;
        m_backoff = std::min(2 * m_backoff, m_settings.longest_backoff);
        return base::from_seconds(base::to_seconds(delay) * (0.5 + m_scheduler.random().unit()));
    }

    runtime::scheduler& m_scheduler;
    Feed& m_feed;
    follower_settings m_settings;
    follower_events m_events;
    base::duration m_backoff;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
    std::uint32_t m_faults = 0;
    bool m_whole = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
