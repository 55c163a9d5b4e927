#include "ferryroad/leases/presence.hpp"

#include <string>
#include <utility>
#include <vector>

namespace ferryroad::leases {

namespace {

constexpr std::string_view component = "leases.presence";
constexpr const char* key_prefix = "routers/";

/// A number that changes, so that the row does, and the note.
std::string value_of(std::uint64_t number, const std::string& note) {
    return std::to_string(number) + " " + note;
}

std::string note_in(const std::string& value) {
    const std::size_t space = value.find(' ');
    return space == std::string::npos ? std::string() : value.substr(space + 1);
}

}  // namespace

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
    base::duration period = m_settings.first_period;
    while (!m_stopped) {
        co_await write_own_row();
        co_await look();
        const double jitter = 0.8 + 0.4 * m_scheduler.random().unit();
        co_await m_scheduler.sleep_for(base::from_seconds(base::to_seconds(period) * jitter));
        period = m_settings.period;
    }
}

runtime::task<void> presence::write_own_row() {
    platform::transaction change;
    change.writes.push_back({platform::row_key(key_prefix + m_self.name.value),
                             value_of(m_scheduler.random().next(), m_self.note)});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    co_await m_table.transact(std::move(changes));  // A lost one is made good by the next.
}

runtime::task<void> presence::look() {
    std::string prefix = key_prefix;
    platform::row_key from_the_start;
    const auto rows = co_await m_table.scan(std::move(prefix), std::move(from_the_start),
                                            m_settings.most_routers);
    if (!rows) {
        co_return;
    }
    const base::monotonic_time now = m_scheduler.now();
    for (const platform::row& row : *rows) {
        see(row, now);
    }
    m_told(present(now));
}

void presence::see(const platform::row& row, base::monotonic_time now) {
    const auto [place, added] =
        m_rows.try_emplace(row.key, seen_row{row.version, now, note_in(row.value)});
    if (place->second.version != row.version) {
        place->second = {row.version, now, note_in(row.value)};
    }
}

std::vector<present_router> presence::present(base::monotonic_time now) const {
    std::vector<present_router> routers = {m_self};
    for (const auto& [key, row] : m_rows) {
        const std::string name = key.value.substr(std::string_view(key_prefix).size());
        if (name != m_self.name.value && now - row.changed_at < m_settings.lifetime) {
            routers.push_back({base::router_name(name), row.note});
        }
    }
    return routers;
}

}  // namespace ferryroad::leases
