#include "ferryroad/relay/request_quarantine.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

using core::quarantine::cleared_suspects;
using core::quarantine::crash_candidate;
using core::quarantine::engine_crash;
using core::quarantine::part_identity;
using core::quarantine::quarantined_part;
using core::quarantine::quarantined_request;
using core::quarantine::request_identity;

std::string digests_of(const std::vector<crash_candidate>& candidates) {
    std::string text;
    for (const crash_candidate& one : candidates) {
        text += (text.empty() ? "" : " ") + to_string(one.request) + (one.silent ? "" : "+");
    }
    return text;
}

/// @return the distinct prompt parts of the candidates.
std::vector<part_identity> parts_of(const std::vector<crash_candidate>& candidates) {
    std::vector<part_identity> all;
    for (const crash_candidate& one : candidates) {
        for (const part_identity& part : one.parts) {
            if (std::find(all.begin(), all.end(), part) == all.end()) {
                all.push_back(part);
            }
        }
    }
    return all;
}

/// Removes all but the first `most` distinct prompt parts.
void limit_parts(engine_crash& crash, std::size_t most) {
    std::vector<part_identity> kept = parts_of(crash.candidates);
    if (kept.size() <= most) {
        return;
    }
    kept.resize(most);
    for (crash_candidate& one : crash.candidates) {
        std::erase_if(one.parts, [&](const part_identity& part) {
            return std::find(kept.begin(), kept.end(), part) == kept.end();
        });
    }
}

std::string names_of(const std::vector<base::engine_name>& engines) {
    std::string text;
    for (const base::engine_name& one : engines) {
        text += (text.empty() ? "" : " ") + one.value;
    }
    return text;
}

/// Adds those of the withdrawn requests that are not candidates of the crash yet.
void add_candidates(engine_crash& crash, const std::vector<withdrawn_request>& withdrawn) {
    for (const withdrawn_request& one : withdrawn) {
        const bool named =
            std::any_of(crash.candidates.begin(), crash.candidates.end(),
                        [&](const crash_candidate& known) { return known.request == one.request; });
        if (!named) {
            crash.candidates.push_back({one.request, true, one.parts});
        }
    }
}

}  // namespace

request_quarantine::request_quarantine(runtime::scheduler& scheduler, refusal_probe probe,
                                       quarantine_settings settings)
    : m_scheduler(scheduler),
      m_probe(std::move(probe)),
      m_settings(settings),
      m_suspects(settings.suspects) {}

const quarantined_request* request_quarantine::find(const request_identity& request) {
    report_quarantined();
    return m_suspects.find(request, m_scheduler.now());
}

void request_quarantine::exchange_broke(const engine_target& engine,
                                        const request_identity& request,
                                        const broken_exchange& how) {
    const base::monotonic_time now = m_scheduler.now();
    if (m_suspects.succeeded_recently(request, now)) {
        return;
    }
    const auto [place, is_first] = m_broken.try_emplace(engine.name);
    broken_exchanges& broken = place->second;
    if (is_first) {
        broken.engine = engine;
        broken.at = now;
        m_scheduler.spawn(component, confirm(engine.name));
    }
    broken.replaced = broken.replaced || how.replaced;
    broken.began = std::max(broken.began, how.began);
    const auto same =
        std::find_if(broken.candidates.begin(), broken.candidates.end(),
                     [&](const crash_candidate& one) { return one.request == request; });
    if (same != broken.candidates.end()) {
        same->silent = same->silent || how.silent;
    } else if (broken.candidates.size() < m_settings.max_candidates) {
        broken.candidates.push_back({request, how.silent, how.parts});
    } else {
        broken.unnamed += how.silent ? 1 : 0;
    }
}

runtime::task<void> request_quarantine::confirm(base::engine_name name) {
    co_await m_scheduler.sleep_for(m_settings.gather_time);
    engine_target engine = m_broken.at(name).engine;
    const bool refuses = co_await m_probe(std::move(engine));
    auto found = m_broken.extract(name);
    if (refuses) {
        record_confirmed_crash(found.mapped(), "connection refused");
    } else if (found.mapped().replaced) {
        record_confirmed_crash(found.mapped(), "new process");
    } else {
        wait_for_restart(std::move(found.mapped()));
    }
}

void request_quarantine::wait_for_restart(broken_exchanges broken) {
    ++m_counters.breaks_unconfirmed;
    const base::engine_name& name = broken.engine.name;
    runtime::log(runtime::log_level::info, component, "exchanges broke; engine crash not confirmed",
                 {{"engine", name.value}, {"in_progress", digests_of(broken.candidates)}});
    m_unconfirmed[name] = std::move(broken);
}

void request_quarantine::engine_restarted(const base::engine_name& engine) {
    const auto found = m_unconfirmed.extract(engine);
    const base::monotonic_time oldest = m_scheduler.now() - m_settings.confirm_within;
    if (!found.empty() && found.mapped().at >= oldest) {
        record_confirmed_crash(found.mapped(), "new process");
    }
}

void request_quarantine::engine_gone(const base::engine_name& engine) {
    m_unconfirmed.erase(engine);
}

void request_quarantine::record_confirmed_crash(const broken_exchanges& broken,
                                                std::string_view evidence) {
    ++m_counters.crashes_seen;
    const base::engine_name& name = broken.engine.name;
    engine_crash crash{name, broken.at, broken.began, broken.candidates, broken.unnamed};
    add_candidates(crash, take_withdrawn(name, broken.at));
    remove_completed(crash);
    limit_parts(crash, m_settings.max_parts);
    const base::duration age = m_scheduler.now() - broken.at;
    runtime::log(runtime::log_level::warning, component, "engine crashed",
                 {{"engine", name.value},
                  {"evidence", std::string(evidence)},
                  {"age_ms", std::to_string(base::to_milliseconds(age))},
                  {"in_progress", digests_of(crash.candidates)},
                  {"parts", core::quarantine::to_string(parts_of(crash.candidates))},
                  {"unnamed", std::to_string(broken.unnamed)}});
    m_suspects.record_crash(crash, m_scheduler.now());
    if (m_callbacks.crash) {
        m_callbacks.crash(crash);
    }
    report_quarantined();
}

void request_quarantine::exchange_completed(const request_identity& request,
                                            const std::vector<part_identity>& parts) {
    const cleared_suspects cleared = record_success({{request}, parts});
    if (!cleared.empty()) {
        report_cleared(cleared, "own exchange");
        if (m_callbacks.cleared) {
            m_callbacks.cleared(cleared);
        }
    }
}

cleared_suspects request_quarantine::record_success(const cleared_suspects& completed) {
    const base::monotonic_time now = m_scheduler.now();
    cleared_suspects cleared;
    for (const request_identity& request : completed.requests) {
        if (m_suspects.record_success(request, now)) {
            cleared.requests.push_back(request);
        }
    }
    cleared.parts = m_suspects.record_part_successes(completed.parts, now);
    for (const part_identity& part : cleared.parts) {
        m_part_trials.erase(part);
    }
    return cleared;
}

cleared_suspects request_quarantine::remove_completed(engine_crash& crash) const {
    const base::monotonic_time now = m_scheduler.now();
    cleared_suspects removed;
    std::erase_if(crash.candidates, [&](const crash_candidate& one) {
        const bool completed = m_suspects.succeeded_recently(one.request, now);
        if (completed) {
            removed.requests.push_back(one.request);
        }
        return completed;
    });
    for (crash_candidate& one : crash.candidates) {
        std::erase_if(one.parts, [&](const part_identity& part) {
            const bool completed = m_suspects.succeeded_recently(part, now);
            if (completed && std::find(removed.parts.begin(), removed.parts.end(), part) ==
                                 removed.parts.end()) {
                removed.parts.push_back(part);
            }
            return completed;
        });
    }
    return removed;
}

cleared_suspects request_quarantine::learn(const engine_crash& reported, std::string_view from) {
    const base::monotonic_time now = m_scheduler.now();
    engine_crash crash = reported;
    crash.at = std::min(reported.at, now);
    cleared_suspects completed_here = remove_completed(crash);
    const std::vector<withdrawn_request> withdrawn_here = take_withdrawn(crash.engine, crash.at);
    add_candidates(crash, withdrawn_here);
    if (!m_suspects.record_crash(crash, now)) {
        return completed_here;
    }
    if (!withdrawn_here.empty() && m_callbacks.crash) {
        m_callbacks.crash(crash);  // Other routers do not know of the withdrawn requests.
    }
    ++m_counters.crashes_told;
    runtime::log(runtime::log_level::info, component, "engine crash reported by peer",
                 {{"engine", crash.engine.value},
                  {"from", std::string(from)},
                  {"age_ms", std::to_string(base::to_milliseconds(now - crash.at))},
                  {"in_progress", digests_of(crash.candidates)},
                  {"parts", core::quarantine::to_string(parts_of(crash.candidates))},
                  {"unnamed", std::to_string(crash.unnamed)}});
    report_quarantined();
    return completed_here;
}

void request_quarantine::learn_cleared(const cleared_suspects& cleared, std::string_view from) {
    const cleared_suspects known = record_success(cleared);
    if (!known.empty()) {
        report_cleared(known, from);
    }
}

void request_quarantine::withdrawn(const base::engine_name& engine,
                                   const withdrawn_request& withdrawal) {
    const base::monotonic_time now = m_scheduler.now();
    for (auto& [name, all] : m_withdrawn) {
        std::erase_if(all, [&](const withdrawn_request& one) { return one.until < now; });
    }
    std::erase_if(m_withdrawn, [](const auto& entry) { return entry.second.empty(); });
    std::vector<withdrawn_request>& requests = m_withdrawn[engine];
    if (requests.size() < m_settings.max_candidates) {
        requests.push_back(withdrawal);
    }
}

std::vector<withdrawn_request> request_quarantine::take_withdrawn(const base::engine_name& engine,
                                                                  base::monotonic_time crashed_at) {
    const auto found = m_withdrawn.find(engine);
    if (found == m_withdrawn.end()) {
        return {};
    }
    std::vector<withdrawn_request> taken;
    for (const withdrawn_request& one : found->second) {
        const bool began_before = one.began <= crashed_at + core::quarantine::crash_time_tolerance;
        if (began_before && crashed_at <= one.until) {
            taken.push_back(one);
        }
    }
    std::erase_if(found->second, [&](const withdrawn_request& one) {
        return one.began <= crashed_at + core::quarantine::crash_time_tolerance;
    });
    return taken;
}

// Some requests are quarantined only once the reports of all routers have arrived, or some time
// after the last evaluation. Repeats that wait at engines must be withdrawn at that time, not when
// the next request happens to arrive.
void request_quarantine::schedule_evaluation() {
    if (!m_evaluating && m_suspects.next_look()) {
        m_evaluating = true;
        m_scheduler.spawn(component, evaluate_suspects());
    }
}

runtime::task<void> request_quarantine::evaluate_suspects() {
    while (const auto due = m_suspects.next_look()) {
        co_await m_scheduler.sleep_until(*due);
        report_quarantined();
    }
    m_evaluating = false;
}

void request_quarantine::report_quarantined() {
    const base::monotonic_time now = m_scheduler.now();
    for (const quarantined_request& one : m_suspects.take_newly_quarantined(now)) {
        ++m_counters.quarantined;
        runtime::log(runtime::log_level::warning, component, "request quarantined",
                     {{"digest", to_string(one.request)},
                      {"crashes", std::to_string(one.crashes)},
                      {"share", std::to_string(one.share)},
                      {"engines", names_of(one.engines)},
                      {"times", std::to_string(one.times)},
                      {"for_ms", std::to_string(base::to_milliseconds(one.until - now))}});
        if (m_on_quarantined) {
            m_on_quarantined(one.request);
        }
    }
    for (const quarantined_part& one : m_suspects.take_newly_quarantined_parts(now)) {
        ++m_counters.quarantined_parts;
        runtime::log(runtime::log_level::warning, component, "prompt part quarantined",
                     {{"part", core::quarantine::to_string({one.part})},
                      {"crashes", std::to_string(one.crashes)},
                      {"engines", names_of(one.engines)},
                      {"times", std::to_string(one.times)},
                      {"for_ms", std::to_string(base::to_milliseconds(one.until - now))}});
        if (m_on_part_quarantined) {
            m_on_part_quarantined();
        }
    }
    schedule_evaluation();
}

void request_quarantine::report_cleared(const cleared_suspects& cleared, std::string_view from) {
    for (const request_identity& request : cleared.requests) {
        ++m_counters.released;
        runtime::log(runtime::log_level::info, component, "request cleared by a completed exchange",
                     {{"digest", to_string(request)}, {"from", std::string(from)}});
    }
    if (!cleared.parts.empty()) {
        runtime::log(
            runtime::log_level::info, component, "prompt parts cleared by a completed exchange",
            {{"parts", core::quarantine::to_string(cleared.parts)}, {"from", std::string(from)}});
    }
}

const quarantined_part* request_quarantine::find_part(const std::vector<part_identity>& parts) {
    if (parts.empty()) {
        return nullptr;
    }
    report_quarantined();
    return m_suspects.find_part(parts, m_scheduler.now());
}

bool request_quarantine::is_suspect(const std::vector<part_identity>& parts) const {
    return std::any_of(parts.begin(), parts.end(), [&](const part_identity& part) {
        return m_suspects.crashes_with(part) > 1;
    });
}

// If the router that tries the part gets no request with it, all others do once the quarantine has
// been over for as long as it lasted.
bool request_quarantine::begin_part_trial(const quarantined_part& quarantined) {
    const base::monotonic_time now = m_scheduler.now();
    const base::duration lasted = quarantined.until - quarantined.since;
    const bool tries =
        !m_tries_part || m_tries_part(quarantined.part) || now >= quarantined.until + lasted;
    base::monotonic_time& trial_until = m_part_trials[quarantined.part];
    if (now < quarantined.until || !tries || now < trial_until) {
        return false;
    }
    trial_until = now + m_settings.part_trial_interval;
    ++m_counters.part_trials;
    runtime::log(runtime::log_level::info, component,
                 "request sent to try a prompt part after its quarantine",
                 {{"part", core::quarantine::to_string({quarantined.part})},
                  {"times", std::to_string(quarantined.times)}});
    return true;
}

}  // namespace ferryroad::relay
