/// @file
/// Keeps a copy of an outside table fresh: reads it whole, then follows its changes, and reads
/// it whole again whenever the history it would need is gone or the copy could be behind.
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
    history_gone,  ///< The changes since then are no longer kept.
    unavailable,   ///< No answer, or a refusal.
    no_source,     ///< The same, of those who tell changes after any version: none is missed.
    malformed      ///< An answer that makes no sense.
};

/// `read_all` reads a table as of one moment; `read_changes` answers what changed after a
/// version, waiting up to `wait` for something. Both give up where nothing has come within
/// `limit`, not while more of an answer comes.
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
    /// The same for the first calls, where a table fills while everyone starts.
    base::duration first_pace{};
    std::uint32_t first_calls = 0;
    base::duration call_limit = std::chrono::milliseconds(500);  ///< Beyond `wait`.
    /// Rows whose keys begin with none of these are passed over; empty: none is.
    std::vector<std::string> key_prefixes;
    /// Changes of which other routers need not be told; none where empty.
    coordination::reading::same_meaning same_meaning;
    base::duration first_backoff = std::chrono::milliseconds(100);
    base::duration longest_backoff = std::chrono::milliseconds(400);
    /// Consecutive faults after which the dependency counts as lost.
    std::uint32_t faults_until_lost = 2;
};

/// What the follower tells. Called on the event loop's thread.
struct follower_events {
    std::function<void(const std::vector<record>&)> whole;  ///< All there is.
    std::function<void(const record&)> changed;             ///< Put or deleted.
    /// Everything accepted before the confirmation's moment has been told.
    std::function<void(const confirmation&)> confirmed;
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
          m_copy(m_settings.same_meaning),
          m_backoff(m_settings.first_backoff) {}

    /// Called once.
    void start() { m_scheduler.spawn(component, run()); }
    void stop() { m_stopped = true; }
    const follower_settings& settings() const { return m_settings; }
    /// @return what is known of the table, for those who take their copy from here.
    const coordination::reading::table_mirror& copy() const { return m_copy; }

  private:
    static constexpr std::string_view component = "relay.follower";

    runtime::task<void> run() {
        while (!m_stopped) {
            const base::monotonic_time asked_at = m_scheduler.now();
            const bool sound = m_whole ? co_await follow(asked_at) : co_await load(asked_at);
            const base::duration rest = sound ? current_pace() : jittered_backoff();
            const base::monotonic_time next = asked_at + rest;
            if (next > m_scheduler.now()) {
                co_await m_scheduler.sleep_until(next);
            }
        }
    }

    runtime::task<bool> load(base::monotonic_time asked_at) {
        auto batch = co_await m_feed.read_all(m_settings.table, m_settings.call_limit);
        if (!batch) {
            note_fault(batch.error());
            co_return false;
        }
        if (batch->version < m_copy.version()) {
            note_fault(feed_fault::malformed);  // Older than what was told before.
            co_return false;
        }
        keep_wanted(batch->records);
        m_copy.replace(batch->records, batch->version);
        m_events.whole(batch->records);
        m_whole = true;
        take(*batch, asked_at);
        co_return true;
    }

    runtime::task<bool> follow(base::monotonic_time asked_at) {
        const base::duration limit = m_settings.wait + m_settings.call_limit;
        auto batch = co_await m_feed.read_changes(m_settings.table, m_copy.version(),
                                                  m_settings.wait, limit);
        if (!batch) {
            // Else changes may pass unseen while the feed is broken.
            m_whole = batch.error() == feed_fault::no_source;
            note_fault(batch.error());
            co_return batch.error() == feed_fault::history_gone;
        }
        if (batch->version < m_copy.version()) {
            m_whole = false;
            note_fault(feed_fault::malformed);
            co_return false;
        }
        keep_wanted(batch->records);
        for (const record& one : batch->records) {
            m_copy.change(one);
            m_events.changed(one);
        }
        take(*batch, asked_at);
        co_return true;
    }

    void take(const record_batch& batch, base::monotonic_time asked_at) {
        // Nobody can have asked the owner later than now, whatever another router says.
        const base::monotonic_time as_of =
            std::min(asked_at + batch.owner_asked_after, m_scheduler.now());
        const confirmation told{batch.version, as_of, batch.owner_time};
        m_copy.confirm(told);
        m_backoff = m_settings.first_backoff;
        if (m_faults >= m_settings.faults_until_lost) {
            runtime::log(runtime::log_level::info, component, "dependency regained",
                         {{"table", m_settings.table}, {"version", version_text()}});
        }
        m_faults = 0;
        m_events.confirmed(told);
    }

    base::duration current_pace() {
        const bool first = m_sound_calls < m_settings.first_calls;
        ++m_sound_calls;
        return first ? m_settings.first_pace : m_settings.pace;
    }

    void keep_wanted(std::vector<record>& records) const {
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

    void note_fault(feed_fault fault) {
        ++m_faults;
        if (m_faults != m_settings.faults_until_lost) {
            return;
        }
        runtime::log(
            runtime::log_level::warning, component, "dependency lost",
            {{"table", m_settings.table}, {"version", version_text()}, {"fault", name_of(fault)}});
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
    coordination::reading::table_mirror m_copy;
    base::duration m_backoff;
    std::uint32_t m_faults = 0;
    std::uint32_t m_sound_calls = 0;
    bool m_whole = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::relay
