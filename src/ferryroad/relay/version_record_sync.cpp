#include "ferryroad/relay/version_record_sync.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

namespace {

namespace stream = coordination::stream;

constexpr std::string_view component = "relay.origins";

platform::row_key key_of(const base::pool_name& pool) {
    return platform::row_key(std::string(version_record_prefix) + pool.value);
}

std::string to_text(const std::set<stream::software_version>& versions) {
    std::string text;
    for (const stream::software_version& one : versions) {
        text += (text.empty() ? "" : " ") + one.value;
    }
    return text;
}

}  // namespace

version_record_sync::version_record_sync(runtime::scheduler& scheduler, platform::table& table,
                                         const owner_clock& clock, const engine_registry& registry,
                                         stored_row_reader& reader,
                                         version_record_settings settings)
    : m_scheduler(scheduler),
      m_table(table),
      m_clock(clock),
      m_registry(registry),
      m_reader(reader),
      m_settings(settings) {}

void version_record_sync::set_rank(std::optional<std::size_t> rank, std::size_t routers) {
    m_rank = rank;
    m_routers = routers;
}

void version_record_sync::start() {
    m_started_at = m_scheduler.now();
    m_scheduler.spawn(component, run());
}

void version_record_sync::learn(const platform::row& row) {
    const base::pool_name pool(row.key.value.substr(version_record_prefix.size()));
    adopt(pool, {row.version, stream::decode_version_record(row.value)}, "read");
}

std::optional<stream::software_version> version_record_sync::sole_version(
    const base::pool_name& pool, base::duration within, base::monotonic_time now) const {
    const stream::version_record* record = find_record(pool);
    if (record == nullptr || !m_clock.known()) {
        return std::nullopt;
    }
    return stream::sole_version(*record, within, m_clock.to_owner_earliest(now));
}

const stream::version_record* version_record_sync::find_record(const base::pool_name& pool) const {
    const auto known = m_known.find(pool);
    return known != m_known.end() && known->second.record ? &*known->second.record : nullptr;
}

bool version_record_sync::is_followed(const base::pool_name& pool) const {
    const stream::version_record* record = find_record(pool);
    if (record == nullptr) {
        return false;
    }
    std::size_t recorded = 0;
    std::size_t others = 0;
    for (const pool_member& one : m_registry.pool(pool)) {
        if (!one.engine->is_leaving()) {
            ++(record->current.contains(one.engine->listed.software) ? recorded : others);
        }
    }
    return recorded > 0 && recorded >= others;
}

std::optional<version_record_sync::version_set> version_record_sync::versions_to_begin_at(
    const base::pool_name& pool) const {
    const stream::version_record* record = find_record(pool);
    const version_set listed = listed_versions(pool);
    if (record == nullptr || std::includes(record->current.begin(), record->current.end(),
                                           listed.begin(), listed.end())) {
        return std::nullopt;
    }
    return is_followed(pool) ? std::optional(record->current) : std::nullopt;
}

runtime::task<void> version_record_sync::run() {
    while (!m_stopped) {
        const bool list_current =
            m_registry.known() && m_registry.age(m_scheduler.now()) <= m_settings.max_list_age;
        if (m_reader.has_read() && m_clock.known() && list_current) {
            co_await check_pools();
        }
        co_await m_scheduler.sleep_for(m_settings.check_period);
    }
}

runtime::task<void> version_record_sync::check_pools() {
    std::vector<base::pool_name> due;
    for (const auto& [pool, counts] : m_registry.software()) {
        const version_set versions = listed_versions(pool);
        if (versions.empty() || is_recorded(pool, versions)) {
            m_differs_since.erase(pool);
        } else if (may_write(record_difference(pool, versions)) &&
                   !is_addition_delayed(pool, versions)) {
            due.push_back(pool);
        }
    }
    if (m_differs_since.size() > due.size()) {
        request_read();
    }
    for (base::pool_name& pool : due) {
        co_await write(std::move(pool));
    }
}

base::monotonic_time version_record_sync::record_difference(const base::pool_name& pool,
                                                            const version_set& listed) {
    const base::monotonic_time now = m_scheduler.now();
    const auto [place, differs_newly] = m_differs_since.try_emplace(pool, now);
    if (differs_newly) {
        m_next_read = std::max(m_next_read, now + m_settings.first_read_delay);
        const stream::version_record* record = find_record(pool);
        runtime::log(runtime::log_level::info, component,
                     "versions of a pool's engines differ from the record",
                     {{"pool", pool.value},
                      {"listed", to_text(listed)},
                      {"recorded", record != nullptr ? to_text(record->current) : "none"},
                      {"followed", is_followed(pool) ? "true" : "false"},
                      {"addition_delayed", is_addition_delayed(pool, listed) ? "true" : "false"}});
    }
    return place->second;
}

bool version_record_sync::is_addition_delayed(const base::pool_name& pool,
                                              const version_set& versions) const {
    const stream::version_record* record = find_record(pool);
    return record != nullptr && m_scheduler.now() - m_started_at < m_settings.addition_delay &&
           !std::includes(record->current.begin(), record->current.end(), versions.begin(),
                          versions.end()) &&
           is_followed(pool);
}

bool version_record_sync::may_write(base::monotonic_time differs_since) const {
    const base::monotonic_time now = m_scheduler.now();
    return m_rank && now >= m_next_write &&
           now - differs_since >= static_cast<base::duration::rep>(*m_rank) * m_settings.rank_delay;
}

void version_record_sync::request_read() {
    const base::monotonic_time now = m_scheduler.now();
    if (now >= m_next_read) {
        m_next_read =
            now + m_settings.read_period +
            static_cast<base::duration::rep>(m_routers) * m_settings.read_period_per_router;
        m_reader.request();
    }
}

version_record_sync::version_set version_record_sync::listed_versions(
    const base::pool_name& pool) const {
    version_set versions;
    const auto listed = m_registry.software().find(pool);
    if (listed != m_registry.software().end()) {
        for (const auto& [version, engines] : listed->second) {
            versions.insert(version);
        }
    }
    return versions;
}

bool version_record_sync::is_recorded(const base::pool_name& pool,
                                      const version_set& versions) const {
    const stream::version_record* record = find_record(pool);
    return record != nullptr && record->current == versions;
}

runtime::task<void> version_record_sync::write(base::pool_name pool) {
    for (std::size_t attempt = 0; attempt <= m_settings.max_conflicts; ++attempt) {
        version_set versions = listed_versions(pool);
        if (versions.empty() || is_recorded(pool, versions)) {
            co_return;
        }
        std::optional<stream::version_record> previous;
        platform::row_version version;
        if (const auto known = m_known.find(pool); known != m_known.end()) {
            previous = known->second.record.value_or(stream::version_record{});
            version = known->second.version;
        }
        const stream::version_record next = stream::updated(
            previous, std::move(versions), m_clock.to_owner_latest(m_scheduler.now()));
        platform::transaction change;
        change.conditions.push_back({key_of(pool), version});
        change.writes.push_back({key_of(pool), stream::encode(next)});
        std::vector<platform::transaction> changes;
        changes.push_back(std::move(change));
        ++m_counters.writes;
        const auto outcome = co_await m_table.transact(std::move(changes));
        if (!outcome) {
            ++m_counters.failures;
            m_next_write = m_scheduler.now() + m_settings.retry;
            log_failure(pool, outcome.error().message);
            co_return;
        }
        const platform::transaction_outcome& result = outcome->front();
        if (result.committed) {
            adopt(pool, {result.version, next}, "written");
            co_return;
        }
        ++m_counters.conflicts;
        if (!result.conflicting) {
            request_read();
            co_return;
        }
        if (result.conflicting->version.value == 0) {
            m_known.erase(pool);
        } else {
            learn(*result.conflicting);
        }
    }
}

void version_record_sync::adopt(const base::pool_name& pool, known_record current,
                                std::string_view source) {
    const auto place = m_known.find(pool);
    if (place != m_known.end() && current.version.value <= place->second.version.value) {
        return;
    }
    if (!current.record) {
        ++m_counters.failures;
        log_failure(pool, "the row is malformed");
    } else if (place == m_known.end() || place->second.record != current.record) {
        const auto others = current.record->others_until;
        const auto now = m_clock.known() ? m_clock.to_owner_earliest(m_scheduler.now()) : 0;
        runtime::log(runtime::log_level::info, component, "versions of a pool's engines recorded",
                     {{"pool", pool.value},
                      {"versions", to_text(current.record->current)},
                      {"others_age_ms", others ? std::to_string(now - *others) : "none"},
                      {"row_version", std::to_string(current.version.value)},
                      {"source", std::string(source)}});
    }
    m_known[pool] = std::move(current);
}

void version_record_sync::log_failure(const base::pool_name& pool, std::string_view error) {
    const base::monotonic_time now = m_scheduler.now();
    if (!m_logged_at || now - *m_logged_at >= m_settings.log_period) {
        m_logged_at = now;
        runtime::log(runtime::log_level::warning, component,
                     "versions of a pool's engines not recorded",
                     {{"pool", pool.value},
                      {"error", std::string(error)},
                      {"failures", std::to_string(m_counters.failures)}});
    }
}

}  // namespace ferryroad::relay
