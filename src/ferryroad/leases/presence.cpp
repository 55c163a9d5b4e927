#include "ferryroad/leases/presence.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::leases {

namespace {

constexpr std::string_view component = "leases.presence";
/// Factors of the pauses' jitter, which keeps routers that start together from writing together.
constexpr double min_jitter = 0.8;
constexpr double jitter_range = 0.4;

/// The number differs with each heartbeat, so that the row's value changes with it.
std::string encode_presence(std::uint64_t number, const std::string& note) {
    return std::to_string(number) + " " + note;
}

platform::row_key to_row_key(const base::router_name& name) {
    return platform::row_key(std::string(presence_key_prefix) + name.value);
}

std::string decode_note(const std::string& value) {
    const std::size_t space = value.find(' ');
    return space == std::string::npos ? std::string() : value.substr(space + 1);
}

}  // namespace

std::optional<present_router> decode_presence(std::string_view key, const std::string& value) {
    if (!key.starts_with(presence_key_prefix)) {
        return std::nullopt;
    }
    const std::string name(key.substr(presence_key_prefix.size()));
    return present_router{base::router_name(name), decode_note(value)};
}

presence::presence(runtime::scheduler& scheduler, platform::table& table, present_router self,
                   std::function<void(const std::vector<present_router>&)> on_present,
                   presence_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_self(std::move(self)),
      m_on_present(std::move(on_present)),
      m_settings(settings) {}

void presence::start() {
    m_scheduler.spawn(component, run());
}

runtime::task<void> presence::run() {
    base::duration retry_delay = std::min(m_settings.first_retry, period());
    while (!m_stopped && !m_listed) {
        m_listed = co_await write_own_row();
        if (!m_listed) {
            co_await pause(retry_delay);
            retry_delay = std::min(2 * retry_delay, period());
        }
    }
    while (!m_stopped) {
        co_await pause(period());
        co_await write_own_row();  // If it fails, the next heartbeat replaces it.
    }
}

runtime::task<void> presence::pause(base::duration length) {
    const double jitter = min_jitter + jitter_range * m_scheduler.random().unit();
    co_await m_scheduler.sleep_for(base::from_seconds(base::to_seconds(length) * jitter));
}

base::duration presence::period() const {
    const auto routers = static_cast<base::duration::rep>(m_present_count);
    return std::max<base::duration>(m_settings.min_period, routers * m_settings.period_per_router);
}

runtime::task<bool> presence::write_own_row() {
    platform::transaction change;
    change.writes.push_back(
        {to_row_key(m_self.name), encode_presence(m_scheduler.random().next(), m_self.note)});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcomes = co_await m_table.transact(std::move(changes));
    co_return outcomes.has_value();
}

runtime::task<void> presence::restore_own_row() {
    runtime::log(runtime::log_level::warning, component,
                 "the row of this router was removed by another router; writing it again");
    co_await write_own_row();
}

void presence::remove_router_row(const base::router_name& name) {
    const platform::row_key key = to_row_key(name);
    const auto known = m_rows.find(key);
    if (known != m_rows.end() && !m_stopped) {
        m_scheduler.spawn(component, remove(key, known->second.version));
    }
}

runtime::task<void> presence::remove(platform::row_key key, platform::row_version version) {
    platform::transaction change;
    change.conditions.push_back({key, version});
    change.writes.push_back({key, std::nullopt});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcomes = co_await m_table.transact(std::move(changes));
    const bool removed = outcomes && !outcomes->empty() && outcomes->front().committed;
    runtime::log(runtime::log_level::info, component,
                 "tried to remove the row of a router that has ended",
                 {{"key", key.value}, {"removed", removed ? "true" : "false"}});
}

void presence::report_present_routers() {
    const std::vector<present_router> routers = present(m_scheduler.now());
    m_present_count = routers.size();
    m_on_present(routers);
}

void presence::update_row(const platform::row& row) {
    if (row.version.value == 0) {
        const bool was_known = m_rows.erase(row.key) > 0;
        if (was_known && row.key == to_row_key(m_self.name) && m_listed && !m_stopped) {
            m_scheduler.spawn(component, restore_own_row());
        }
        return;
    }
    const base::monotonic_time now = m_scheduler.now();
    const auto [position, added] =
        m_rows.try_emplace(row.key, seen_row{row.version, now, decode_note(row.value)});
    if (position->second.version != row.version) {
        position->second = {row.version, now, decode_note(row.value)};
    }
}

std::vector<present_router> presence::present(base::monotonic_time now) const {
    const base::duration lifetime =
        base::from_seconds(base::to_seconds(period()) * m_settings.lifetime_periods);
    std::vector<present_router> routers = {m_self};
    for (const auto& [key, row] : m_rows) {
        const std::string name = key.value.substr(presence_key_prefix.size());
        if (name != m_self.name.value && now - row.changed_at < lifetime) {
            routers.push_back({base::router_name(name), row.note});
        }
    }
    return routers;
}

}  // namespace ferryroad::leases
