#include "ferryroad/relay/request_quarantine.hpp"

#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace {

using core::quarantine::crash_candidate;
using core::quarantine::engine_crash;
using core::quarantine::quarantined_request;
using core::quarantine::request_identity;

std::string digests_of(const std::vector<crash_candidate>& candidates) {
    std::string text;
    for (const crash_candidate& one : candidates) {
        text += (text.empty() ? "" : " ") + to_string(one.request) + (one.silent ? "" : "+");
    }
    return text;
}

std::string names_of(const std::vector<base::engine_name>& engines) {
    std::string text;
    for (const base::engine_name& one : engines) {
        text += (text.empty() ? "" : " ") + one.value;
    }
    return text;
}

/// Adds those that the crash doesn't name yet.
void add_candidates(engine_crash& crash, const std::vector<withdrawn_request>& withdrawn) {
    for (const withdrawn_request& one : withdrawn) {
        const bool named =
            std::any_of(crash.candidates.begin(), crash.candidates.end(),
                        [&](const crash_candidate& known) { return known.request == one.request; });
        if (!named) {
            crash.candidates.push_back({one.request, true});
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
    note_quarantined();
    return m_suspects.find(request, m_scheduler.now());
}

void request_quarantine::exchange_broke(const engine_target& engine,
                                        const request_identity& request,
                                        const broken_exchange& how) {
    const base::monotonic_time now = m_scheduler.now();
    if (m_suspects.ended_well_lately(request, now)) {
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
    } else if (broken.candidates.size() < m_settings.named) {
        broken.candidates.push_back({request, how.silent});
    } else {
        broken.unnamed += how.silent ? 1 : 0;
    }
}

runtime::task<void> request_quarantine::confirm(base::engine_name name) {
    co_await m_scheduler.sleep_for(m_settings.gather);
    base::endpoint address = m_broken.at(name).engine.address;
    const bool refuses = co_await m_probe(std::move(address));
    auto found = m_broken.extract(name);
    if (refuses) {
        confirmed(found.mapped(), "connection refused");
    } else if (found.mapped().replaced) {
        confirmed(found.mapped(), "new process");
    } else {
        wait_for_restart(std::move(found.mapped()));
    }
}

void request_quarantine::wait_for_restart(broken_exchanges broken) {
    ++m_counters.breaks_unconfirmed;
    const base::engine_name& name = broken.engine.name;
    runtime::log(runtime::log_level::info, component, "exchanges broke, the engine may live on",
                 {{"engine", name.value}, {"in_progress", digests_of(broken.candidates)}});
    m_unconfirmed[name] = std::move(broken);
}

void request_quarantine::engine_restarted(const base::engine_name& engine) {
    const auto found = m_unconfirmed.extract(engine);
    const base::monotonic_time oldest = m_scheduler.now() - m_settings.confirm_within;
    if (!found.empty() && found.mapped().at >= oldest) {
        confirmed(found.mapped(), "new process");
    }
}

void request_quarantine::engine_gone(const base::engine_name& engine) {
    m_unconfirmed.erase(engine);
}

void request_quarantine::confirmed(const broken_exchanges& broken, std::string_view evidence) {
    ++m_counters.crashes_seen;
    const base::engine_name& name = broken.engine.name;
    engine_crash crash{name, broken.at, broken.began, broken.candidates, broken.unnamed};
    add_candidates(crash, take_withdrawn(name, broken.at));
    const base::duration age = m_scheduler.now() - broken.at;
    runtime::log(runtime::log_level::warning, component, "engine ended",
                 {{"engine", name.value},
                  {"evidence", std::string(evidence)},
                  {"age_ms", std::to_string(base::to_milliseconds(age))},
                  {"in_progress", digests_of(crash.candidates)},
                  {"unnamed", std::to_string(broken.unnamed)}});
    m_suspects.record_crash(crash, m_scheduler.now());
    if (m_news.crash) {
        m_news.crash(crash);
    }
    note_quarantined();
}

void request_quarantine::ended_well(const request_identity& request) {
    if (m_suspects.record_good_end(request, m_scheduler.now())) {
        note_released(request, "own exchange");
        if (m_news.cleared) {
            m_news.cleared(request);
        }
    }
}

std::vector<request_identity> request_quarantine::learn(const engine_crash& told,
                                                        std::string_view from) {
    const base::monotonic_time now = m_scheduler.now();
    engine_crash wanted = told;
    wanted.at = std::min(told.at, now);
    std::vector<request_identity> known_well;
    std::erase_if(wanted.candidates, [&](const crash_candidate& one) {
        const bool ended_well = m_suspects.ended_well_lately(one.request, now);
        if (ended_well) {
            known_well.push_back(one.request);
        }
        return ended_well;
    });
    const std::vector<withdrawn_request> here = take_withdrawn(wanted.engine, wanted.at);
    add_candidates(wanted, here);
    if (!m_suspects.record_crash(wanted, now)) {
        return known_well;
    }
    if (!here.empty() && m_news.crash) {
        m_news.crash(wanted);  // The others can't know that it was there.
    }
    ++m_counters.crashes_told;
    runtime::log(runtime::log_level::info, component, "engine's end told",
                 {{"engine", wanted.engine.value},
                  {"from", std::string(from)},
                  {"age_ms", std::to_string(base::to_milliseconds(now - wanted.at))},
                  {"in_progress", digests_of(wanted.candidates)},
                  {"unnamed", std::to_string(wanted.unnamed)}});
    note_quarantined();
    return known_well;
}

void request_quarantine::learn_cleared(const request_identity& request, std::string_view from) {
    if (m_suspects.record_good_end(request, m_scheduler.now())) {
        note_released(request, from);
    }
}

void request_quarantine::withdrawn(const base::engine_name& engine,
                                   const withdrawn_request& taken_back) {
    const base::monotonic_time now = m_scheduler.now();
    for (auto& [name, all] : m_withdrawn) {
        std::erase_if(all, [&](const withdrawn_request& one) { return one.until < now; });
    }
    std::erase_if(m_withdrawn, [](const auto& entry) { return entry.second.empty(); });
    std::vector<withdrawn_request>& here = m_withdrawn[engine];
    if (here.size() < m_settings.named) {
        here.push_back(taken_back);
    }
}

std::vector<withdrawn_request> request_quarantine::take_withdrawn(const base::engine_name& engine,
                                                                  base::monotonic_time ended_at) {
    const auto found = m_withdrawn.find(engine);
    if (found == m_withdrawn.end()) {
        return {};
    }
    std::vector<withdrawn_request> taken;
    for (const withdrawn_request& one : found->second) {
        const bool came_before = one.began <= ended_at + core::quarantine::crash_slack;
        if (came_before && ended_at <= one.until) {
            taken.push_back(one);
        }
    }
    std::erase_if(found->second, [&](const withdrawn_request& one) {
        return one.began <= ended_at + core::quarantine::crash_slack;
    });
    return taken;
}

/// Some are found only when the reports of all routers have arrived, or some time after the last
/// look: what waits at engines is to hear of it then, and not with the next request.
void request_quarantine::look_when_due() {
    if (!m_looking && m_suspects.next_look()) {
        m_looking = true;
        m_scheduler.spawn(component, look_until_found());
    }
}

runtime::task<void> request_quarantine::look_until_found() {
    while (const auto due = m_suspects.next_look()) {
        co_await m_scheduler.sleep_until(*due);
        note_quarantined();
    }
    m_looking = false;
}

void request_quarantine::note_quarantined() {
    const base::monotonic_time now = m_scheduler.now();
    for (const quarantined_request& one : m_suspects.take_new(now)) {
        ++m_counters.quarantined;
        runtime::log(runtime::log_level::warning, component, "request quarantined",
                     {{"digest", to_string(one.request)},
                      {"crashes", std::to_string(one.crashes)},
                      {"share", std::to_string(one.share)},
                      {"engines", names_of(one.engines)},
                      {"times", std::to_string(one.times)},
                      {"for_ms", std::to_string(base::to_milliseconds(one.until - now))}});
        if (m_quarantined) {
            m_quarantined(one.request);
        }
    }
    look_when_due();
}

void request_quarantine::note_released(const request_identity& request, std::string_view from) {
    ++m_counters.released;
    runtime::log(runtime::log_level::info, component, "request cleared by a good end",
                 {{"digest", to_string(request)}, {"from", std::string(from)}});
}

}  // namespace ferryroad::relay
