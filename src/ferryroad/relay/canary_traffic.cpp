#include "ferryroad/relay/canary_traffic.hpp"

#include "ferryroad/core/canary/canary_engines.hpp"
#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::relay {

namespace canary = core::canary;
namespace release = coordination::release;

namespace {

constexpr std::string_view component = "relay.release";

std::string name_of(const std::optional<release::release_phase>& phase) {
    return phase ? std::string(release::to_string(*phase)) : std::string("unknown");
}

}  // namespace

canary_traffic::canary_traffic(engine_registry& registry, canary_settings settings)
    : m_registry(registry), m_settings(settings), m_gate(settings.gate) {}

void canary_traffic::change_settings(const canary_settings& settings) {
    m_settings = settings;
}

// ---- Inputs ----

canary::judge_tunables canary_traffic::own_judge_tunables() const {
    canary::judge_tunables tunables = m_settings.judge;
    tunables.false_alarm /= std::max(1.0, m_settings.routers);
    return tunables;
}

void canary_traffic::order(const release::release_order& given) {
    m_gate.order(given);
    m_announced.insert(given.pool);
    const auto known = m_pools.find(given.pool);
    if (known != m_pools.end() && given.number <= known->second.own.order.number) {
        return;
    }
    auto last_notice = known == m_pools.end() ? std::nullopt : known->second.last_notice;
    pool_release fresh{{},
                       canary::exposure_budget(m_settings.exposure),
                       canary::canary_trial(own_judge_tunables()),
                       std::move(last_notice),
                       {},
                       {},
                       {}};
    fresh.own.order = given;
    fresh.own.phase = m_gate.phase_of(given.pool);
    m_pools.insert_or_assign(given.pool, std::move(fresh));
    runtime::log(runtime::log_level::info, component, "release order received",
                 {{"pool", given.pool.value},
                  {"order", std::to_string(given.number.value)},
                  {"target", given.target.value},
                  {"allowed_ms", std::to_string(base::to_milliseconds(given.allowed))}});
}

void canary_traffic::told(const release::phase_notice& notice, base::monotonic_time now) {
    m_gate.told(notice, now);
    m_announced.insert(notice.pool);
    const auto known = m_pools.find(notice.pool);
    if (known == m_pools.end()) {
        return;
    }
    pool_release& one = known->second;
    one.last_notice = notice;
    const auto phase = m_gate.phase_of(notice.pool);
    if (phase != one.own.phase) {
        runtime::log(runtime::log_level::info, component, "release phase changed",
                     {{"pool", notice.pool.value},
                      {"order", std::to_string(notice.order.value)},
                      {"target", notice.target.value},
                      {"phase", name_of(phase)},
                      {"before", name_of(one.own.phase)},
                      {"requests", std::to_string(one.own.requests)},
                      {"exposed", std::to_string(one.own.exposed)}});
        one.own.phase = phase;
    }
}

void canary_traffic::engines_changed(base::monotonic_time now) {
    for (const auto& [pool, counts] : m_registry.software()) {
        std::set<release::software_version> versions;
        for (const auto& [version, engines] : counts) {
            versions.insert(version);
        }
        m_gate.listed(pool, versions, now);
    }
    for (auto& [pool, one] : m_pools) {
        one.chosen_at = {};
    }
}

bool canary_traffic::look(const base::pool_name& pool) {
    const auto known = m_pools.find(pool);
    if (known == m_pools.end()) {
        return false;
    }
    local_release& own = known->second.own;
    const bool was_bad = own.found.found == canary::verdict::bad;
    own.found = known->second.trial.look(own.counts);
    const bool just_found = !was_bad && own.found.found == canary::verdict::bad;
    if (just_found) {
        m_gate.stop(pool);
        runtime::log(runtime::log_level::warning, component,
                     "canary trial stopped: this router's own counts show a bad version",
                     {{"pool", pool.value},
                      {"order", std::to_string(own.order.number.value)},
                      {"target", own.order.target.value},
                      {"route", own.found.route.value},
                      {"test", own.found.by_duration ? "duration" : "failures"},
                      {"answers", std::to_string(own.found.answers)},
                      {"bad_answers", std::to_string(own.found.bad_answers)},
                      {"evidence", std::to_string(own.found.evidence)},
                      {"bound", std::to_string(own.found.bound)}});
    }
    return just_found;
}

// ---- Requests ----

void canary_traffic::choose_canary_engines(pool_release& one, base::monotonic_time now) const {
    std::vector<base::engine_name> candidates;
    std::vector<base::engine_name> warming;
    std::size_t current = 0;
    for (const auto& [name, engine] : m_registry.engines()) {
        if (engine.listed.pool != one.own.order.pool || engine.is_leaving()) {
            continue;
        }
        if (engine.listed.software == one.own.order.target) {
            (now < engine.warm_at ? warming : candidates).push_back(name);
        } else if (permits(engine, now) == release::permission::all) {
            ++current;
        }
    }
    if (candidates.empty()) {
        candidates = std::move(warming);  // Slow, but their failures are evidence.
    }
    const auto chosen = canary::select_canary_engines(one.own.order.number.value, candidates,
                                                      current, m_settings.exposure.share);
    one.canaries = {chosen.begin(), chosen.end()};
    one.chosen_at = now;
}

bool canary_traffic::choose(const base::pool_name& pool, const base::route_name& route,
                            base::monotonic_time now) {
    if (m_pools.empty()) {
        return false;
    }
    const auto known = m_pools.find(pool);
    if (known == m_pools.end()) {
        return false;
    }
    pool_release& one = known->second;
    const auto permitted = m_gate.permits(pool, one.own.order.target, now, now);
    if (permitted != release::permission::canary) {
        return false;
    }
    if (one.chosen_at == base::monotonic_time{} ||
        now - one.chosen_at > m_settings.engine_choice_period) {
        choose_canary_engines(one, now);
    }
    if (one.canaries.empty()) {
        return false;
    }
    const bool to_canary = one.budget.take(route);
    one.own.requests = one.budget.requests();
    one.own.exposed = one.budget.exposed();
    return to_canary;
}

void canary_traffic::give_back(const base::pool_name& pool, const base::route_name& route) {
    const auto known = m_pools.find(pool);
    if (known != m_pools.end()) {
        known->second.budget.give_back(route);
        known->second.own.exposed = known->second.budget.exposed();
    }
}

std::optional<release::order_number> canary_traffic::order_in_progress(
    const base::pool_name& pool) const {
    if (m_pools.empty() || !m_gate.under_way(pool)) {
        return std::nullopt;
    }
    return m_gate.order_of(pool)->number;
}

void canary_traffic::ended(const exchange_result& result, base::monotonic_time now) {
    const auto known = m_pools.find(result.pool);
    if (known == m_pools.end() || known->second.own.order.number != result.order) {
        return;
    }
    pool_release& one = known->second;
    if (result.broken_off) {
        const auto [last, is_first] = one.crashed_at.try_emplace(result.engine, now);
        if (!is_first && now - last->second < m_settings.crash_window) {
            return;
        }
        last->second = now;
    }
    canary::compared_counts& both = one.own.counts[result.route];
    const bool is_canary = result.software == one.own.order.target;
    canary::outcome_counts& counts = is_canary ? both.canary : both.current;
    ++counts.answered;
    if (result.failed) {
        ++counts.failed;
    } else if (result.timed) {
        ++counts.durations[canary::duration_class_of(result.taken)];
    }
}

// ---- Queries ----

bool canary_traffic::has_no_permitted_engine(const base::pool_name& pool,
                                             base::monotonic_time now) const {
    const auto& engines = m_registry.engines();
    return std::none_of(engines.begin(), engines.end(), [&](const auto& entry) {
        const known_engine& engine = entry.second;
        return engine.listed.pool == pool && !engine.is_leaving() &&
               gate_permits(engine, now) == release::permission::all;
    });
}

release::permission canary_traffic::permits(const known_engine& engine,
                                            base::monotonic_time now) const {
    const auto found = gate_permits(engine, now);
    if (found != release::permission::none || !has_no_permitted_engine(engine.listed.pool, now)) {
        return found;
    }
    if (!m_announced.contains(engine.listed.pool)) {
        return release::permission::all;
    }
    const auto listed_at = std::min(engine.listed_at, m_confirmed_at.value_or(engine.listed_at));
    const auto if_confirmed =
        m_gate.permits(engine.listed.pool, engine.listed.software, listed_at, now);
    return if_confirmed == release::permission::all ? if_confirmed : found;
}

release::permission canary_traffic::gate_permits(const known_engine& engine,
                                                 base::monotonic_time now) const {
    return m_gate.permits(engine.listed.pool, engine.listed.software, engine.listed_at, now);
}

bool canary_traffic::accepts_canary_requests(const known_engine& engine,
                                             base::monotonic_time now) const {
    const auto known = m_pools.find(engine.listed.pool);
    const bool chosen =
        known != m_pools.end() && known->second.canaries.contains(engine.listed.name);
    return chosen && !engine.health.suspended(now) && engine.refuses_until <= now &&
           !engine.is_backing_off(now);
}

bool canary_traffic::is_state_source(const known_engine& engine, base::monotonic_time now) const {
    if (m_pools.empty()) {
        return true;
    }
    const auto known = m_pools.find(engine.listed.pool);
    if (known == m_pools.end() || permits(engine, now) != release::permission::none) {
        return true;
    }
    const auto& notice = known->second.last_notice;
    return engine.listed.software != known->second.own.order.target &&
           !(notice && notice->refused.contains(engine.listed.software));
}

const local_release* canary_traffic::find(const base::pool_name& pool) const {
    const auto known = m_pools.find(pool);
    return known == m_pools.end() ? nullptr : &known->second.own;
}

std::uint32_t canary_traffic::unrepeatable_at_replaced(const base::pool_name& pool) const {
    const auto known = m_pools.find(pool);
    if (known == m_pools.end() || !known->second.last_notice) {
        return 0;
    }
    std::uint32_t running = 0;
    for (const auto& [name, engine] : m_registry.engines()) {
        const bool replaced = engine.listed.pool == pool &&
                              known->second.last_notice->replaced.contains(engine.listed.software);
        running += replaced ? engine.unrepeatable : 0;
    }
    return running;
}

// ---- release_filter ----

release::permission release_filter::permission_of(const known_engine& engine) {
    const auto confirmed_at = m_releases->confirmed_at();
    const bool confirmed = confirmed_at && engine.listed_at <= *confirmed_at;
    for (std::size_t index = 0; index < m_cached_count; ++index) {
        const cached_permission& one = m_cached[index];
        if (one.confirmed == confirmed && *one.software == engine.listed.software) {
            return one.found;
        }
    }
    const auto found = m_releases->permits(engine, m_now);
    if (m_cached_count < m_cached.size()) {
        m_cached[m_cached_count++] = {&engine.listed.software, confirmed, found};
    }
    return found;
}

bool release_filter::allows(const known_engine& engine) {
    if (m_releases == nullptr) {
        return true;
    }
    const auto found = permission_of(engine);
    switch (m_requests) {
        case released_requests::canary:
            return found == release::permission::canary &&
                   m_releases->accepts_canary_requests(engine, m_now);
        case released_requests::continued:
            return found != release::permission::none;
        case released_requests::current:
            break;
    }
    return found == release::permission::all;
}

}  // namespace ferryroad::relay
