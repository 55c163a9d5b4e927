#include "ferryroad/relay/naming_record_sync.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

namespace rollout = coordination::rollout;

constexpr std::string_view component = "relay.naming";
const platform::row_key record_key("rollout/named-weights");

}  // namespace

void owner_clock::observe(base::monotonic_time asked_at, base::monotonic_time answered_at,
                          std::chrono::milliseconds owner_time) {
    const base::duration min_offset = owner_time - answered_at.time_since_epoch();
    const base::duration max_offset = owner_time - asked_at.time_since_epoch();
    m_min_offset = m_known ? std::max(m_min_offset, min_offset) : min_offset;
    m_max_offset = m_known ? std::min(m_max_offset, max_offset) : max_offset;
    m_known = true;
}

rollout::store_clock_milliseconds owner_clock::to_owner_earliest(base::monotonic_time local) const {
    return base::to_milliseconds(local.time_since_epoch() + m_min_offset);
}

base::monotonic_time owner_clock::to_local_earliest(rollout::store_clock_milliseconds owner) const {
    return base::monotonic_time(std::chrono::milliseconds(owner) - m_max_offset);
}

rollout::store_clock_milliseconds owner_clock::to_owner_latest(base::monotonic_time local) const {
    return base::to_milliseconds(local.time_since_epoch() + m_max_offset) + 1;
}

base::monotonic_time owner_clock::to_local_latest(rollout::store_clock_milliseconds owner) const {
    return base::monotonic_time(std::chrono::milliseconds(owner) - m_min_offset);
}

naming_record_sync::naming_record_sync(runtime::scheduler& scheduler, platform::table& table,
                                       policy_source& policies, std::function<bool()> leads,
                                       naming_record_sync_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_policies(policies),
      m_leads(std::move(leads)),
      m_settings(settings) {}

void naming_record_sync::start() {
    m_policies.await_record(m_scheduler.now());
    m_scheduler.spawn(component, run());
}

runtime::task<void> naming_record_sync::run() {
    bool read_done = false;
    while (!m_stopped && !read_done) {
        read_done = co_await read_record();
        if (!read_done) {
            co_await m_scheduler.sleep_for(m_settings.retry);
        }
    }
    m_policies.finish_record_read();
    while (!m_stopped) {
        if (m_leads() && m_clock.known() && m_policies.confirmed_at()) {
            co_await write_record();
        }
        co_await m_scheduler.sleep_for(m_settings.period);
    }
}

runtime::task<bool> naming_record_sync::read_record() {
    if (!m_clock.known()) {
        co_return false;
    }
    std::vector<platform::row_key> keys{record_key};
    const auto rows = co_await m_table.read(std::move(keys));
    if (!rows) {
        co_return false;
    }
    if (!rows->empty()) {
        take_record(rows->front());
    }
    co_return true;
}

void naming_record_sync::take_record(const platform::row& row) {
    m_row_version = row.version;
    if (row.version == platform::row_version()) {
        return;  // The row is absent.
    }
    const auto record = rollout::decode_naming_record(row.value);
    if (!record) {
        runtime::log(runtime::log_level::warning, component, "naming record is unreadable",
                     {{"row_version", std::to_string(row.version.value)}});
        return;
    }
    std::map<std::string, std::uint64_t> recorded;
    for (const auto& [model, versions] : record->models) {
        for (const rollout::named_weights& one : versions) {
            m_policies.add_recorded_naming(model, one.version,
                                           m_clock.to_local_earliest(one.accepted_after));
            recorded[model] = one.version;
        }
    }
    m_policies.raise_unrecorded_namings(recorded, m_clock.to_local_earliest(record->confirmed_at));
    runtime::log(runtime::log_level::info, component, "naming record read",
                 {{"models", std::to_string(record->models.size())},
                  {"row_version", std::to_string(row.version.value)}});
}

rollout::naming_record naming_record_sync::current_record() const {
    rollout::naming_record record;
    record.confirmed_at = m_clock.to_owner_earliest(*m_policies.confirmed_at());
    for (const auto& [model, history] : m_policies.versions()) {
        auto& versions = record.models[model];
        for (const named_version& one : history.named()) {
            versions.push_back({one.version, m_clock.to_owner_earliest(one.accepted_after)});
        }
    }
    return record;
}

runtime::task<void> naming_record_sync::write_record() {
    platform::transaction change;
    // Without a condition, an older record whose write got no answer could replace this one later.
    change.conditions.push_back({record_key, m_row_version});
    change.writes.push_back({record_key, rollout::encode(current_record())});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcome = co_await m_table.transact(std::move(changes));
    if (!outcome) {
        runtime::log(runtime::log_level::debug, component,
                     "writing the naming record failed; retrying in the next period",
                     {{"error", outcome.error().message}});
        co_return;
    }
    const platform::transaction_outcome& written = outcome->front();
    if (written.committed) {
        m_row_version = written.version;
    } else if (written.conflicting) {
        take_record(*written.conflicting);
    }
}

}  // namespace ferryroad::relay
