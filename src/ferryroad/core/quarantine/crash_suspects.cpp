#include "ferryroad/core/quarantine/crash_suspects.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ferryroad::core::quarantine {

namespace {

bool any_silent(const engine_crash& crash) {
    return crash.unnamed > 0 || std::any_of(crash.candidates.begin(), crash.candidates.end(),
                                            [](const crash_candidate& one) { return one.silent; });
}

/// @return whether the crash may be charged to the candidate.
bool counts(const engine_crash& crash, const crash_candidate& one) {
    return one.silent || !any_silent(crash);
}

bool is_charged(const engine_crash& crash, const request_identity& request) {
    return std::any_of(
        crash.candidates.begin(), crash.candidates.end(),
        [&](const crash_candidate& one) { return one.request == request && counts(crash, one); });
}

std::size_t counted_candidates(const engine_crash& crash) {
    const auto named = std::count_if(crash.candidates.begin(), crash.candidates.end(),
                                     [&](const auto& one) { return counts(crash, one); });
    return static_cast<std::size_t>(named) + crash.unnamed;
}

}  // namespace

bool is_same_crash(const engine_crash& first, const engine_crash& second) {
    return first.engine == second.engine && first.began <= second.at + crash_slack &&
           second.began <= first.at + crash_slack;
}

crash_suspects::crash_suspects(suspects_tunables tunables)
    : m_tunables(tunables), m_good_ends(tunables.good_end_holds) {}

bool crash_suspects::record_crash(const engine_crash& told, base::monotonic_time now) {
    forget_old(now);
    if (now - told.at > m_tunables.crash_kept) {
        return false;
    }
    engine_crash* known = find_crash(told);
    const bool is_new = known == nullptr;
    if (is_new) {
        m_crashes.push_back({told.engine, told.at, told.began, {}, 0});
        known = &m_crashes.back();
    }
    const bool news = merge(*known, told) || is_new;
    if (news) {
        m_look_at = std::max(now, m_looked_at + m_tunables.look_pace);
    }
    forget_old(now);
    return news;
}

engine_crash* crash_suspects::find_crash(const engine_crash& told) {
    const auto found = std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                                    [&](const auto& one) { return is_same_crash(one, told); });
    return found == m_crashes.rend() ? nullptr : &*found;
}

bool crash_suspects::merge(engine_crash& known, const engine_crash& told) const {
    known.at = std::min(known.at, told.at);
    known.began = std::max(known.began, told.began);
    bool news = told.unnamed > known.unnamed;
    known.unnamed = std::max(known.unnamed, told.unnamed);
    for (const crash_candidate& one : told.candidates) {
        const auto same =
            std::find_if(known.candidates.begin(), known.candidates.end(),
                         [&](const auto& other) { return other.request == one.request; });
        if (same != known.candidates.end()) {
            news = news || (one.silent && !same->silent);
            same->silent = same->silent || one.silent;
        } else if (known.candidates.size() < m_tunables.candidates) {
            known.candidates.push_back(one);
            news = true;
        }
    }
    return news;
}

void crash_suspects::forget_old(base::monotonic_time now) {
    while (!m_crashes.empty() && (m_crashes.size() > m_tunables.crashes ||
                                  now - m_crashes.front().at > m_tunables.crash_kept)) {
        m_crashes.pop_front();
    }
}

bool crash_suspects::record_good_end(const request_identity& request, base::monotonic_time now) {
    m_good_ends.record(request, now);
    bool known = m_quarantined.erase(request) > 0;
    for (engine_crash& crash : m_crashes) {
        known = std::erase_if(crash.candidates,
                              [&](const auto& one) { return one.request == request; }) > 0 ||
                known;
    }
    return known;
}

const quarantined_request* crash_suspects::find(const request_identity& request,
                                                base::monotonic_time now) {
    look(now);
    const auto found = m_quarantined.find(request);
    const bool holds = found != m_quarantined.end() && now < found->second.until;
    return holds ? &found->second : nullptr;
}

bool crash_suspects::is_candidate(const request_identity& request) const {
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const engine_crash& crash) { return is_charged(crash, request); });
}

std::vector<quarantined_request> crash_suspects::take_new(base::monotonic_time now) {
    look(now);
    return std::exchange(m_new, {});
}

std::size_t crash_suspects::quarantined(base::monotonic_time now) const {
    return static_cast<std::size_t>(
        std::count_if(m_quarantined.begin(), m_quarantined.end(),
                      [&](const auto& entry) { return now < entry.second.until; }));
}

void crash_suspects::look(base::monotonic_time now) {
    if (!m_look_at || now < *m_look_at) {
        return;
    }
    m_look_at.reset();
    m_looked_at = now;
    for (;;) {
        const tallies all = count(now);
        const std::pair<const request_identity, tally>* worst = nullptr;
        for (const auto& one : all) {
            if (!convicts(one.first, one.second, now)) {
                continue;
            }
            const auto rank = [](const auto& entry) {
                return std::tuple(entry.second.share, entry.second.crashes, entry.first);
            };
            if (worst == nullptr || rank(one) > rank(*worst)) {
                worst = &one;
            }
        }
        if (worst == nullptr) {
            return;
        }
        quarantine(worst->first, worst->second, now);
    }
}

crash_suspects::tallies crash_suspects::count(base::monotonic_time now) const {
    tallies all;
    for (const engine_crash& crash : m_crashes) {
        if (!is_explained(crash)) {
            add_shares(crash, all, now);
        }
    }
    return all;
}

void crash_suspects::add_shares(const engine_crash& crash, tallies& all,
                                base::monotonic_time now) const {
    const double share =
        1.0 / static_cast<double>(std::max<std::size_t>(1, counted_candidates(crash)));
    for (const crash_candidate& one : crash.candidates) {
        const auto before = m_quarantined.find(one.request);
        const bool served_its_time =
            before != m_quarantined.end() && crash.at <= before->second.until;
        if (!counts(crash, one) || served_its_time || ended_well_lately(one.request, now)) {
            continue;
        }
        tally& counted = all[one.request];
        ++counted.crashes;
        counted.weighed += one.silent ? 1.0 : m_tunables.running_crash;
        counted.share += share * (one.silent ? 1.0 : m_tunables.running_share);
        counted.newest = std::max(counted.newest, crash.at);
    }
}

bool crash_suspects::is_explained(const engine_crash& crash) const {
    return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [&](const crash_candidate& one) {
                           const auto found = m_quarantined.find(one.request);
                           return found != m_quarantined.end() && crash.at <= found->second.until &&
                                  counts(crash, one);
                       });
}

bool crash_suspects::convicts(const request_identity& request, const tally& counted,
                              base::monotonic_time now) {
    const bool again = m_quarantined.contains(request);
    if (again || counted.weighed >= m_tunables.certain_crashes) {
        return true;
    }
    // A sum of thirds may fall short of one by rounding.
    constexpr double rounding = 1e-9;
    if (counted.weighed < m_tunables.least_crashes ||
        counted.share + rounding < m_tunables.least_share) {
        return false;
    }
    const base::monotonic_time settled = counted.newest + m_tunables.settle;
    if (now >= settled) {
        return true;
    }
    m_look_at = std::min(settled, m_look_at.value_or(settled));
    return false;
}

void crash_suspects::quarantine(const request_identity& request, const tally& counted,
                                base::monotonic_time now) {
    const auto place = m_quarantined.try_emplace(request).first;
    quarantined_request& entry = place->second;
    const bool again = entry.crashes > 0;
    const base::duration before = entry.until - entry.since;
    entry.request = request;
    entry.since = now;
    entry.until = now + (again ? std::min(2 * before, m_tunables.longest_quarantine)
                               : m_tunables.first_quarantine);
    entry.times += again ? 1 : 0;
    entry.crashes += counted.crashes;
    entry.share += counted.share;
    for (const engine_crash& crash : m_crashes) {
        if (is_charged(crash, request)) {
            entry.engines.push_back(crash.engine);
        }
    }
    m_new.push_back(entry);
    if (m_quarantined.size() > m_tunables.quarantined) {
        forget_oldest();
    }
}

/// With the crashes charged to it: they must not be charged to others, nor to it again.
void crash_suspects::forget_oldest() {
    const auto oldest = std::min_element(
        m_quarantined.begin(), m_quarantined.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
    std::erase_if(m_crashes,
                  [&](const engine_crash& crash) { return is_charged(crash, oldest->first); });
    m_quarantined.erase(oldest);
}

}  // namespace ferryroad::core::quarantine
