#include "ferryroad/leases/presence.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::leases {

namespace {

constexpr std::string_view component = "leases.presence";
constexpr const char* key_prefix = "routers/";

}  // namespace

presence::presence(runtime::scheduler& scheduler, platform::table& table,
                   const base::router_name& self, std::function<void(std::size_t)> counted,
                   presence_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_own_key(key_prefix + self.value),
      m_counted(std::move(counted)),
      m_settings(settings) {}

void presence::start() {
    m_scheduler.spawn(component, run());
}

runtime::task<void> presence::run() {
    while (!m_stopped) {
        co_await write_own_row();
        co_await count_rows();
        const double jitter = 0.8 + 0.4 * m_scheduler.random().unit();
        co_await m_scheduler.sleep_for(
            base::from_seconds(base::to_seconds(m_settings.period) * jitter));
    }
}

runtime::task<void> presence::write_own_row() {
    platform::transaction change;
    change.writes.push_back({m_own_key, std::to_string(m_scheduler.random().next())});
    std::vector<platform::transaction> changes;
    changes.push_back(std::move(change));
    co_await m_table.transact(std::move(changes));  // A lost one is made good by the next.
}

runtime::task<void> presence::count_rows() {
    std::string prefix = key_prefix;
    platform::row_key from_the_start;
    const auto rows = co_await m_table.scan(std::move(prefix), std::move(from_the_start),
                                            m_settings.most_routers);
    if (!rows) {
        co_return;
    }
    const base::monotonic_time now = m_scheduler.now();
    for (const platform::row& row : *rows) {
        const auto [place, added] = m_rows.try_emplace(row.key, seen_row{row.version, now});
        if (place->second.version != row.version) {
            place->second = {row.version, now};
        }
    }
    const auto present = std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& entry) {
        return now - entry.second.changed_at < m_settings.lifetime;
    });
    m_counted(std::max<std::size_t>(1, static_cast<std::size_t>(present)));
}

}  // namespace ferryroad::leases
