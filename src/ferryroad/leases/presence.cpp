#include "ferryroad/leases/presence.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::leases {

namespace {

constexpr std::string_view component = "leases.presence";
/// Routers that start together are spread a little, and stay so.
constexpr double least_jitter = 0.8;
constexpr double jitter_range = 0.4;

/// A number that changes, so that the row does, and the note.
std::string value_of(std::uint64_t number, const std::string& note) {
    return std::to_string(number) + " " + note;
}

platform::row_key key_of(const base::router_name& name) {
    return platform::row_key(std::string(presence_key_prefix) + name.value);
}

std::string note_in(const std::string& value) {
    const std::size_t space = value.find(' ');
    return space == std::string::npos ? std::string() : value.substr(space + 1);
}

}  // namespace

std::optional<present_router> decode_presence(std::string_view key, const std::string& value) {
    if (!key.starts_with(presence_key_prefix)) {
        return std::nullopt;
    }
    const std::string name(key.substr(presence_key_prefix.size()));
    return present_router{base::router_name(name), note_in(value)};
}

presence::presence(runtime::scheduler& scheduler, platform::table& table, present_router self,
                   std::function<void(const std::vector<present_router>&)> told,
                   presence_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_self(std::move(self)),
      m_told(std::move(told)),
      m_settings(settings) {}

void presence::start() {
    m_scheduler.spawn(component, run());
}

runtime::task<void> presence::run() {
    base::duration retry = std::min(m_settings.first_retry, period());
    while (!m_stopped && !m_listed) {
        m_listed = co_await write_own_row();
        if (!m_listed) {
            co_await pause(retry);
            retry = std::min(2 * retry, period());
        }
    }
    while (!m_stopped) {
        co_await pause(period());
        co_await write_own_row();  // A lost one is made good by the next.
    }
}

runtime::task<void> presence::pause(base::duration length) {
    const double jitter = least_jitter + jitter_range * m_scheduler.random().unit();
    co_await m_scheduler.sleep_for(base::from_seconds(base::to_seconds(length) * jitter));
}

base::duration presence::period() const {
    const auto routers = static_cast<base::duration::rep>(m_present);
    return std::max<base::duration>(m_settings.least_period,
                                    routers * m_settings.period_per_router);
}

runtime::task<bool> presence::write_own_row() {
    platform::transaction change;
    change.writes.push_back(
        {key_of(m_self.name), value_of(m_scheduler.random().next(), m_self.note)});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    const auto outcomes = co_await m_table.transact(std::move(changes));
    co_return outcomes.has_value();
}

runtime::task<void> presence::write_again() {
    runtime::log(runtime::log_level::warning, component, "own row was removed, written again");
    co_await write_own_row();
}

void presence::remove_gone(const base::router_name& name) {
    const platform::row_key key = key_of(name);
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
    runtime::log(runtime::log_level::info, component, "row of a router that is gone",
                 {{"key", key.value}, {"removed", removed ? "true" : "false"}});
}

void presence::look() {
    const std::vector<present_router> routers = present(m_scheduler.now());
    m_present = routers.size();
    m_told(routers);
}

void presence::see(const platform::row& row) {
    if (row.version.value == 0) {
        const bool was_known = m_rows.erase(row.key) > 0;
        if (was_known && row.key == key_of(m_self.name) && m_listed && !m_stopped) {
            m_scheduler.spawn(component, write_again());
        }
        return;
    }
    const base::monotonic_time now = m_scheduler.now();
    const auto [place, added] =
        m_rows.try_emplace(row.key, seen_row{row.version, now, note_in(row.value)});
    if (place->second.version != row.version) {
        place->second = {row.version, now, note_in(row.value)};
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
