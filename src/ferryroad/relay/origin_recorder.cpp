#include "ferryroad/relay/origin_recorder.hpp"

#include "ferryroad/coordination/stream/origin_rows.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace ferryroad::relay {

namespace {

namespace stream = coordination::stream;

constexpr std::string_view component = "relay.origins";

}  // namespace

origin_recorder::origin_recorder(runtime::scheduler& scheduler, platform::table& table,
                                 const owner_clock& clock, base::router_name self,
                                 origin_recorder_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_clock(clock),
      m_self(std::move(self)),
      m_settings(settings) {}

void origin_recorder::start() {
    m_scheduler.spawn(component, remove_periodically());
}

void origin_recorder::store(const stream::aged_origin& recorded, stored_handler handler) {
    if (m_waiting.size() >= m_settings.max_waiting) {
        ++m_counters.dropped;
        return;
    }
    m_waiting.push_back({recorded.origin, m_scheduler.now() - recorded.age, std::move(handler)});
    if (!m_writing) {
        m_writing = true;
        m_scheduler.spawn(component, write_batches());
    }
}

/// Not ended by `stop`: a router that stops still serves its streams.
runtime::task<void> origin_recorder::write_batches() {
    while (!m_waiting.empty()) {
        const base::monotonic_time began = m_scheduler.now();
        bool written = false;
        if (m_clock.known()) {
            written = co_await write_batch();
        }
        if (written) {
            co_await m_scheduler.sleep_until(began + m_settings.min_interval);
        } else {
            co_await m_scheduler.sleep_for(m_settings.retry);
        }
    }
    m_writing = false;
}

runtime::task<bool> origin_recorder::write_batch() {
    std::vector<waiting_origin> batch = take_batch();
    if (batch.empty()) {
        co_return true;
    }
    std::vector<platform::transaction> changes;
    changes.push_back(transaction_for(batch));
    if (changes.front().writes.empty()) {
        m_counters.dropped += batch.size();
        co_return true;
    }
    ++m_counters.batches;
    ++m_counters.calls;
    const auto outcome = co_await m_table.transact(std::move(changes));
    if (!outcome || !outcome->front().committed) {
        ++m_counters.failed_batches;
        log_failure("write", outcome ? platform::error{} : outcome.error());
        m_waiting.insert(m_waiting.begin(), std::make_move_iterator(batch.begin()),
                         std::make_move_iterator(batch.end()));
        co_return false;
    }
    m_counters.stored += batch.size();
    for (const waiting_origin& one : batch) {
        one.handler();
    }
    co_return true;
}

std::vector<origin_recorder::waiting_origin> origin_recorder::take_batch() {
    const base::monotonic_time now = m_scheduler.now();
    std::vector<waiting_origin> batch;
    while (!m_waiting.empty() && batch.size() < m_settings.max_batch) {
        if (now - m_waiting.front().began_at < m_settings.retention) {
            batch.push_back(std::move(m_waiting.front()));
        }
        m_waiting.pop_front();
    }
    return batch;
}

platform::transaction origin_recorder::transaction_for(
    const std::vector<waiting_origin>& batch) const {
    std::vector<stream::dated_origin> origins;
    origins.reserve(batch.size());
    for (const waiting_origin& one : batch) {
        origins.push_back({one.origin, m_clock.to_owner_earliest(one.began_at)});
    }
    const auto written_at = m_clock.to_owner_latest(m_scheduler.now());
    platform::transaction change;
    for (std::string& row : stream::encode_origin_rows(origins, m_settings.max_row_bytes)) {
        const std::size_t index = change.writes.size();
        change.writes.push_back(
            {platform::row_key(stream::origin_row_key(written_at, m_self, index)), std::move(row)});
    }
    return change;
}

runtime::task<void> origin_recorder::remove_periodically() {
    while (!m_stopped) {
        std::size_t removed = 0;
        if (m_removes && m_clock.known()) {
            removed = co_await remove_old_rows();
        }
        const bool more = removed >= m_settings.max_removed;
        co_await m_scheduler.sleep_for(more ? m_settings.short_removal_period
                                            : m_settings.removal_period);
    }
}

runtime::task<std::size_t> origin_recorder::remove_old_rows() {
    const base::monotonic_time last =
        m_scheduler.now() - m_settings.retention - m_settings.removal_margin;
    const std::string end = stream::first_origin_key(m_clock.to_owner_earliest(last));
    std::string prefix(stream::origin_row_prefix);
    platform::row_key after;
    ++m_counters.calls;
    const auto rows = co_await m_table.scan(std::move(prefix), std::move(after),
                                            static_cast<std::uint32_t>(m_settings.max_removed));
    if (!rows) {
        log_failure("scan", rows.error());
        co_return 0;
    }
    platform::transaction change;
    for (const platform::row& one : *rows) {
        if (one.key.value < end) {
            change.writes.push_back({one.key, std::nullopt});
        }
    }
    const std::size_t count = change.writes.size();
    if (count == 0) {
        co_return 0;
    }
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    ++m_counters.calls;
    const auto outcome = co_await m_table.transact(std::move(changes));
    if (!outcome) {
        log_failure("remove", outcome.error());
        co_return 0;
    }
    m_counters.removed_rows += count;
    co_return count;
}

void origin_recorder::log_failure(std::string_view operation, const platform::error& failure) {
    const base::monotonic_time now = m_scheduler.now();
    if (!m_logged_at || now - *m_logged_at >= m_settings.log_period) {
        m_logged_at = now;
        runtime::log(runtime::log_level::warning, component, "stream origins not stored",
                     {{"operation", std::string(operation)},
                      {"error", failure.message},
                      {"waiting", std::to_string(m_waiting.size())},
                      {"failed_batches", std::to_string(m_counters.failed_batches)}});
    }
}

}  // namespace ferryroad::relay
