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
bool is_chargeable(const engine_crash& crash, const crash_candidate& one) {
    return one.silent || !any_silent(crash);
}

bool is_charged(const engine_crash& crash, const request_identity& request) {
    return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [&](const crash_candidate& one) {
                           return one.request == request && is_chargeable(crash, one);
                       });
}

std::size_t chargeable_candidates(const engine_crash& crash) {
    const auto named = std::count_if(crash.candidates.begin(), crash.candidates.end(),
                                     [&](const auto& one) { return is_chargeable(crash, one); });
    return static_cast<std::size_t>(named) + crash.unnamed;
}

bool has_part(const crash_candidate& one, const part_identity& part) {
    return std::find(one.parts.begin(), one.parts.end(), part) != one.parts.end();
}

bool has_part(const engine_crash& crash, const part_identity& part) {
    return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [&](const crash_candidate& one) { return has_part(one, part); });
}

/// @return whether one request with the part was in progress at all of the crashes.
bool is_one_request_at_all(const std::vector<const engine_crash*>& crashes,
                           const part_identity& part) {
    const auto was_in_progress = [&](const engine_crash& crash, const request_identity& request) {
        return std::any_of(crash.candidates.begin(), crash.candidates.end(), [&](const auto& one) {
            return one.request == request && has_part(one, part);
        });
    };
    return std::any_of(crashes.front()->candidates.begin(), crashes.front()->candidates.end(),
                       [&](const crash_candidate& one) {
                           return std::all_of(crashes.begin(), crashes.end(),
                                              [&](const auto* crash) {
                                                  return was_in_progress(*crash, one.request);
                                              });
                       });
}

}  // namespace

bool is_same_crash(const engine_crash& first, const engine_crash& second) {
    return first.engine == second.engine && first.began <= second.at + crash_time_tolerance &&
           second.began <= first.at + crash_time_tolerance;
}

crash_suspects::crash_suspects(suspects_tunables tunables)
    : m_tunables(tunables),
      m_successes(tunables.success_lifetime),
      m_part_successes(tunables.success_lifetime) {}

bool crash_suspects::record_crash(const engine_crash& report, base::monotonic_time now) {
    drop_expired(now);
    if (now - report.at > m_tunables.crash_lifetime) {
        return false;
    }
    engine_crash* known = find_crash(report);
    const bool is_new = known == nullptr;
    if (is_new) {
        m_crashes.push_back({report.engine, report.at, report.began, {}, 0});
        known = &m_crashes.back();
    }
    const bool has_changes = merge(*known, report) || is_new;
    if (has_changes) {
        m_next_evaluation = std::max(now, m_last_evaluation + m_tunables.evaluation_interval);
    }
    drop_expired(now);
    return has_changes;
}

engine_crash* crash_suspects::find_crash(const engine_crash& report) {
    const auto found = std::find_if(m_crashes.rbegin(), m_crashes.rend(),
                                    [&](const auto& one) { return is_same_crash(one, report); });
    return found == m_crashes.rend() ? nullptr : &*found;
}

bool crash_suspects::merge(engine_crash& known, const engine_crash& report) const {
    known.at = std::min(known.at, report.at);
    known.began = std::max(known.began, report.began);
    bool has_changes = report.unnamed > known.unnamed;
    known.unnamed = std::max(known.unnamed, report.unnamed);
    for (const crash_candidate& one : report.candidates) {
        const auto same =
            std::find_if(known.candidates.begin(), known.candidates.end(),
                         [&](const auto& other) { return other.request == one.request; });
        if (same != known.candidates.end()) {
            has_changes = has_changes || (one.silent && !same->silent) ||
                          (same->parts.empty() && !one.parts.empty());
            same->silent = same->silent || one.silent;
            if (same->parts.empty()) {
                same->parts = one.parts;
            }
        } else if (known.candidates.size() < m_tunables.candidates) {
            known.candidates.push_back(one);
            has_changes = true;
        }
    }
    return has_changes;
}

void crash_suspects::drop_expired(base::monotonic_time now) {
    while (!m_crashes.empty() && (m_crashes.size() > m_tunables.crashes ||
                                  now - m_crashes.front().at > m_tunables.crash_lifetime)) {
        m_crashes.pop_front();
    }
}

bool crash_suspects::record_success(const request_identity& request, base::monotonic_time now) {
    m_successes.record(request, now);
    bool known = m_quarantined.erase(request) > 0;
    for (engine_crash& crash : m_crashes) {
        known = std::erase_if(crash.candidates,
                              [&](const auto& one) { return one.request == request; }) > 0 ||
                known;
    }
    return known;
}

std::vector<part_identity> crash_suspects::record_part_successes(
    const std::vector<part_identity>& parts, base::monotonic_time now) {
    std::vector<part_identity> cleared;
    for (const part_identity& part : parts) {
        m_part_successes.record(part, now);
        bool known = m_quarantined_parts.erase(part) > 0;
        for (engine_crash& crash : m_crashes) {
            for (crash_candidate& one : crash.candidates) {
                known = std::erase(one.parts, part) > 0 || known;
            }
        }
        if (known) {
            cleared.push_back(part);
        }
    }
    return cleared;
}

const quarantined_request* crash_suspects::find(const request_identity& request,
                                                base::monotonic_time now) {
    evaluate(now);
    const auto found = m_quarantined.find(request);
    const bool holds = found != m_quarantined.end() && now < found->second.until;
    return holds ? &found->second : nullptr;
}

bool crash_suspects::is_candidate(const request_identity& request) const {
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const engine_crash& crash) { return is_charged(crash, request); });
}

std::vector<quarantined_request> crash_suspects::take_newly_quarantined(base::monotonic_time now) {
    evaluate(now);
    return std::exchange(m_new, {});
}

std::size_t crash_suspects::quarantined(base::monotonic_time now) const {
    return static_cast<std::size_t>(
        std::count_if(m_quarantined.begin(), m_quarantined.end(),
                      [&](const auto& entry) { return now < entry.second.until; }));
}

void crash_suspects::evaluate(base::monotonic_time now) {
    if (!m_next_evaluation || now < *m_next_evaluation) {
        return;
    }
    m_next_evaluation.reset();
    m_last_evaluation = now;
    for (;;) {
        const tallies all = count(now);
        const std::pair<const request_identity, tally>* worst = nullptr;
        for (const auto& one : all) {
            if (!should_quarantine(one.first, one.second, now)) {
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
            break;
        }
        quarantine(worst->first, worst->second, now);
    }
    evaluate_parts(now);
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
        1.0 / static_cast<double>(std::max<std::size_t>(1, chargeable_candidates(crash)));
    for (const crash_candidate& one : crash.candidates) {
        const auto before = m_quarantined.find(one.request);
        const bool already_charged =
            before != m_quarantined.end() && crash.at <= before->second.until;
        if (!is_chargeable(crash, one) || already_charged || succeeded_recently(one.request, now)) {
            continue;
        }
        tally& sum = all[one.request];
        ++sum.crashes;
        sum.weighted_crashes += one.silent ? 1.0 : m_tunables.running_crash_weight;
        sum.share += share * (one.silent ? 1.0 : m_tunables.running_share_weight);
        sum.newest = std::max(sum.newest, crash.at);
    }
}

bool crash_suspects::is_explained(const engine_crash& crash) const {
    return is_explained_by_part(crash) ||
           std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [&](const crash_candidate& one) {
                           const auto found = m_quarantined.find(one.request);
                           return found != m_quarantined.end() && crash.at <= found->second.until &&
                                  is_chargeable(crash, one);
                       });
}

bool crash_suspects::should_quarantine(const request_identity& request, const tally& sum,
                                       base::monotonic_time now) {
    const bool repeated = m_quarantined.contains(request);
    if (repeated || sum.weighted_crashes >= m_tunables.certain_crashes) {
        return true;
    }
    // A sum of thirds may be less than one because of rounding.
    constexpr double rounding = 1e-9;
    if (sum.weighted_crashes < m_tunables.min_crashes ||
        sum.share + rounding < m_tunables.min_share) {
        return false;
    }
    const base::monotonic_time settled = sum.newest + m_tunables.settle;
    if (now >= settled) {
        return true;
    }
    m_next_evaluation = std::min(settled, m_next_evaluation.value_or(settled));
    return false;
}

void crash_suspects::quarantine(const request_identity& request, const tally& sum,
                                base::monotonic_time now) {
    const auto inserted = m_quarantined.try_emplace(request).first;
    quarantined_request& entry = inserted->second;
    const bool repeated = entry.crashes > 0;
    const base::duration before = entry.until - entry.since;
    entry.request = request;
    entry.since = now;
    entry.until = now + (repeated ? std::min(2 * before, m_tunables.max_quarantine)
                                  : m_tunables.initial_quarantine);
    entry.times += repeated ? 1 : 0;
    entry.crashes += sum.crashes;
    entry.share += sum.share;
    for (const engine_crash& crash : m_crashes) {
        if (is_charged(crash, request)) {
            entry.engines.push_back(crash.engine);
        }
    }
    m_new.push_back(entry);
    if (m_quarantined.size() > m_tunables.quarantined) {
        evict_oldest();
    }
}

/// Also drops the crashes charged to the request, so that they are not charged to other requests or
/// to it once more.
void crash_suspects::evict_oldest() {
    const auto oldest = std::min_element(
        m_quarantined.begin(), m_quarantined.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
    std::erase_if(m_crashes,
                  [&](const engine_crash& crash) { return is_charged(crash, oldest->first); });
    m_quarantined.erase(oldest);
}

const quarantined_part* crash_suspects::find_part(const std::vector<part_identity>& parts,
                                                  base::monotonic_time now) {
    evaluate(now);
    for (const part_identity& part : parts) {
        const auto found = m_quarantined_parts.find(part);
        if (found != m_quarantined_parts.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

std::size_t crash_suspects::crashes_with(const part_identity& part) const {
    return static_cast<std::size_t>(
        std::count_if(m_crashes.begin(), m_crashes.end(),
                      [&](const engine_crash& crash) { return has_part(crash, part); }));
}

std::vector<quarantined_part> crash_suspects::take_newly_quarantined_parts(
    base::monotonic_time now) {
    evaluate(now);
    return std::exchange(m_new_parts, {});
}

void crash_suspects::evaluate_parts(base::monotonic_time now) {
    for (;;) {
        const part_tallies all = count_parts(now);
        const std::pair<const part_identity, part_tally>* worst = nullptr;
        // Of parts that always come together the one furthest from the root is the narrowest.
        const auto rank = [](const auto& entry) {
            return std::tuple(entry.second.crashes.size(), entry.second.depth, entry.first);
        };
        for (const auto& one : all) {
            const bool is_worse = worst == nullptr || rank(one) > rank(*worst);
            if (is_worse && should_quarantine_part(one.first, one.second, now)) {
                worst = &one;
            }
        }
        if (worst == nullptr) {
            return;
        }
        quarantine_part(worst->first, worst->second, now);
    }
}

// Crashes that a quarantined request explains count as well: each of several requests with the part
// may have been quarantined by itself.
crash_suspects::part_tallies crash_suspects::count_parts(base::monotonic_time now) const {
    part_tallies all;
    for (const engine_crash& crash : m_crashes) {
        if (is_explained_by_part(crash)) {
            continue;
        }
        for (const crash_candidate& one : crash.candidates) {
            for (std::size_t depth = 0; depth < one.parts.size(); ++depth) {
                const part_identity& part = one.parts[depth];
                if (succeeded_recently(part, now)) {
                    continue;
                }
                part_tally& sum = all[part];
                sum.depth = std::max(sum.depth, depth);
                if (sum.crashes.empty() || sum.crashes.back() != &crash) {
                    sum.crashes.push_back(&crash);
                }
            }
        }
    }
    return all;
}

bool crash_suspects::is_explained_by_part(const engine_crash& crash) const {
    return std::any_of(m_quarantined_parts.begin(), m_quarantined_parts.end(),
                       [&](const auto& entry) {
                           return crash.at <= entry.second.until && has_part(crash, entry.first);
                       });
}

bool crash_suspects::should_quarantine_part(const part_identity& part, const part_tally& sum,
                                            base::monotonic_time now) {
    if (m_quarantined_parts.contains(part)) {
        return true;
    }
    if (sum.crashes.size() < m_tunables.part_crashes || is_one_request_at_all(sum.crashes, part)) {
        return false;
    }
    base::monotonic_time newest{};
    for (const engine_crash* crash : sum.crashes) {
        newest = std::max(newest, crash->at);
    }
    // Other routers may know that requests with the part succeed.
    const base::monotonic_time settled = newest + m_tunables.settle;
    if (now >= settled) {
        return true;
    }
    m_next_evaluation = std::min(settled, m_next_evaluation.value_or(settled));
    return false;
}

void crash_suspects::quarantine_part(const part_identity& part, const part_tally& sum,
                                     base::monotonic_time now) {
    const auto [place, is_first] = m_quarantined_parts.try_emplace(part);
    quarantined_part& entry = place->second;
    const base::duration before = entry.until - entry.since;
    entry.part = part;
    entry.since = now;
    entry.until = now + (is_first ? m_tunables.initial_part_quarantine
                                  : std::min(2 * before, m_tunables.max_quarantine));
    entry.times += is_first ? 0 : 1;
    entry.crashes += static_cast<std::uint32_t>(sum.crashes.size());
    for (const engine_crash* crash : sum.crashes) {
        entry.engines.push_back(crash->engine);
    }
    m_new_parts.push_back(entry);
    if (m_quarantined_parts.size() > m_tunables.quarantined) {
        const auto oldest = std::min_element(
            m_quarantined_parts.begin(), m_quarantined_parts.end(),
            [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
        const part_identity forgotten = oldest->first;
        m_quarantined_parts.erase(oldest);
        std::erase_if(m_crashes, [&](const auto& crash) { return has_part(crash, forgotten); });
    }
}

}  // namespace ferryroad::core::quarantine
