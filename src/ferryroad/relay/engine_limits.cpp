#include "ferryroad/relay/engine_limits.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ferryroad::relay {

namespace {

constexpr std::string_view own_share_name = "own share";

std::string counter_name(const quotas::quota_decision& decision) {
    const std::string& name = decision.counted_by.value;
    return name.empty() ? std::string(own_share_name) : name;
}

/// @return whether the limits differ by more than `share` of the larger one.
bool differs(const std::optional<double>& one, const std::optional<double>& other, double share) {
    if (!one || !other) {
        return one.has_value() != other.has_value();
    }
    return std::abs(*one - *other) > share * std::max(*one, *other);
}

}  // namespace

std::string to_string(const engine_limit& limit) {
    if (!limit.per_second) {
        return "none";
    }
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.6g", *limit.per_second);
    return {text.data(), static_cast<std::size_t>(length)};
}

engine_limits::engine_limits(runtime::scheduler& scheduler, engine_registry& registry,
                             engine_request_counter count, limit_announcer announce,
                             engine_limit_settings settings)
    : m_scheduler(scheduler),
      m_registry(registry),
      m_count(std::move(count)),
      m_announce(std::move(announce)),
      m_settings(settings) {}

bool engine_limits::is_enforced(const engine_limit& limit) const {
    return limit.per_second && *limit.per_second < m_settings.unenforced_rate;
}

quotas::rate_limit engine_limits::rate_limit_of(const engine_limit& limit) const {
    const double rate = std::max(*limit.per_second, m_settings.least_rate);
    return {base::revision(), rate, rate * m_settings.burst_seconds};
}

void engine_limits::set_limit(known_engine& engine, const engine_limit& limit,
                              std::string_view source) {
    const engine_limit previous = std::exchange(engine.limit, limit);
    if (previous.per_second == limit.per_second) {
        return;
    }
    if (!limit.per_second) {
        engine.paused_until = {};
    }
    ++m_counters.changes;
    const base::monotonic_time now = m_scheduler.now();
    runtime::log(
        runtime::log_level::info, component, "request limit of an engine changed",
        {{"engine", engine.listed.name.value},
         {"per_second", to_string(limit)},
         {"age_ms", std::to_string(base::to_milliseconds(now - limit.as_of))},
         {"source", std::string(source)},
         {"previous", to_string(previous)},
         {"previous_age_ms", std::to_string(base::to_milliseconds(now - previous.as_of))}});
}

void engine_limits::record_answer(known_engine& engine, const stated_limit& stated) {
    const std::optional<double> previous = engine.limit.per_second;
    set_limit(engine, {stated.per_second, m_scheduler.now()}, "answer");
    if (m_announce && differs(previous, stated.per_second, m_settings.announced_change)) {
        m_announce({engine.listed.name, engine.listed.process_start_ms.value_or(0),
                    stated.per_second, base::duration{}});
    }
}

void engine_limits::record_announcement(const peer::stated_engine_limit& told,
                                        const base::router_name& from) {
    known_engine* engine = m_registry.find(told.engine);
    const base::monotonic_time as_of = m_scheduler.now() - told.age;
    if (engine == nullptr || as_of <= engine->limit.as_of ||
        engine->listed.process_start_ms.value_or(0) != told.process_start_ms) {
        return;
    }
    set_limit(*engine, {told.per_second, as_of}, from.value);
}

void engine_limits::remove_old_sends(known_engine& engine, base::monotonic_time now) const {
    std::erase_if(engine.uncounted_sends, [&](base::monotonic_time sent_at) {
        return now - sent_at > m_settings.counted_before;
    });
}

void engine_limits::record_sent(known_engine& engine, const send_permit& permit) {
    if (permit.counted_by.value.empty()) {
        const base::monotonic_time now = m_scheduler.now();
        remove_old_sends(engine, now);
        engine.uncounted_sends.push_back(now);
    }
}

runtime::task<send_permit> engine_limits::acquire(base::engine_name name,
                                                  base::request_id request) {
    known_engine* engine = m_registry.find(name);
    if (engine == nullptr || !is_enforced(engine->limit)) {
        co_return send_permit{};
    }
    const std::uint64_t process = engine->process;
    const engine_limit limit = engine->limit;
    const base::monotonic_time now = m_scheduler.now();
    remove_old_sends(*engine, now);
    const auto sends = std::exchange(engine->uncounted_sends, {});
    const quotas::limit_evidence evidence{static_cast<double>(sends.size()), now - limit.as_of};
    quotas::rate_limit asked = rate_limit_of(limit);
    base::engine_name subject = name;
    const quotas::quota_decision decision = co_await m_count(std::move(subject), asked, evidence);
    count(decision);
    engine = m_registry.find(name);
    const bool same_process = engine != nullptr && engine->process == process;
    if (same_process && decision.counted_by.value.empty()) {
        engine->uncounted_sends.insert(engine->uncounted_sends.begin(), sends.begin(), sends.end());
    }
    // The limit may have ended during the ask.
    if (same_process && !decision.verdict.granted && is_enforced(engine->limit)) {
        pause(*engine, decision);
        log_refusal(request, *engine, decision, evidence);
    }
    co_return send_permit{decision.verdict.granted, limit.per_second, decision.counted_by};
}

void engine_limits::pause(known_engine& engine, const quotas::quota_decision& decision) const {
    const bool own_share = decision.counted_by.value.empty();
    const base::duration wait =
        own_share ? std::min(decision.verdict.retry_after, m_settings.longest_pause_by_own_share)
                  : decision.verdict.retry_after;
    engine.paused_until = std::max(engine.paused_until, m_scheduler.now() + wait);
}

void engine_limits::count(const quotas::quota_decision& decision) {
    ++(decision.verdict.granted ? m_counters.granted : m_counters.refused);
    m_counters.own_share += decision.counted_by.value.empty() ? 1 : 0;
}

void engine_limits::log_refusal(const base::request_id& request, const known_engine& engine,
                                const quotas::quota_decision& decision,
                                const quotas::limit_evidence& evidence) const {
    runtime::log(
        runtime::log_level::info, component, "not sent to an engine: its request limit is used up",
        {{"request_id", request.value},
         {"engine", engine.listed.name.value},
         {"per_second", to_string(engine.limit)},
         {"limit_age_ms", std::to_string(base::to_milliseconds(evidence.limit_age))},
         {"uncounted", std::to_string(static_cast<std::int64_t>(evidence.uncounted))},
         {"counted_by", counter_name(decision)},
         {"askers", std::to_string(decision.verdict.askers)},
         {"retry_after_ms", std::to_string(base::to_milliseconds(decision.verdict.retry_after))}});
}

std::optional<base::duration> engine_limits::retry_after(const base::pool_name& pool) {
    const base::monotonic_time now = m_scheduler.now();
    std::optional<base::monotonic_time> available_at;
    double rate = 0;
    for (const pool_member& one : m_registry.pool(pool)) {
        if (one.engine->paused_until <= now || one.engine->is_leaving()) {
            continue;
        }
        available_at =
            std::min(available_at.value_or(one.engine->paused_until), one.engine->paused_until);
        rate += std::max(one.engine->limit.per_second.value_or(0), m_settings.least_rate);
    }
    if (!available_at) {
        return std::nullopt;
    }
    const base::duration interval = base::from_seconds(static_cast<double>(m_routers) / rate);
    return m_retries[pool].schedule(*available_at, interval, m_settings.longest_retry_queue) - now;
}

std::size_t engine_limits::limited() const {
    const auto& engines = m_registry.engines();
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [](const auto& entry) { return entry.second.limit.per_second.has_value(); }));
}

}  // namespace ferryroad::relay
