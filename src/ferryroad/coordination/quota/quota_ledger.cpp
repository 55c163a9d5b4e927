#include "ferryroad/coordination/quota/quota_ledger.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

ledger_tunables engine_ledger_tunables() {
    ledger_tunables tunables;
    tunables.asker_retention = std::chrono::seconds(15);
    tunables.report_valid_for = tunables.asker_retention;
    tunables.missing_after_one_ask = tunables.asker_retention;
    tunables.min_missing_after = std::chrono::seconds(3);
    return tunables;
}

quota_verdict quota_ledger::decide(const base::router_name& asker, const quota_ask& ask,
                                   base::monotonic_time now) {
    account& counted = account_of(ask, now);
    record_ask(counted, asker, now);
    if (ask.known_askers >= counted.reported_askers ||
        now - counted.reported_at > m_tunables.report_valid_for) {
        counted.reported_askers = ask.known_askers;
        counted.reported_at = now;
    }
    const double part = active_part(counted, now);
    counted.bucket.advance(counted.limit, part, now);
    apply_limit(counted, ask, now);
    counted.bucket.charge(ask.uncounted,
                          counted.limit.per_second * m_tunables.longest_debt_seconds);
    quota_verdict verdict;
    verdict.granted = counted.bucket.take(ask.amount);
    verdict.askers = static_cast<std::uint32_t>(counted.askers.size());
    if (!verdict.granted) {
        verdict.retry_after = schedule_retry(counted, ask, part, now);
    }
    return verdict;
}

void quota_ledger::apply_limit(account& counted, const quota_ask& ask, base::monotonic_time now) {
    const base::monotonic_time learned_at = now - ask.limit_age;
    const auto known = counted.limit.revision.value;
    const bool is_newer =
        ask.limit.revision.value > known ||
        (ask.limit.revision.value == known && learned_at >= counted.limit_learned_at);
    if (is_newer) {
        counted.limit = ask.limit;
        counted.limit_learned_at = learned_at;
    }
}

quota_ledger::account& quota_ledger::account_of(const quota_ask& ask, base::monotonic_time now) {
    const auto found = m_accounts.find(ask.subject);
    if (found != m_accounts.end()) {
        return found->second;
    }
    const bool takes_over = ask.known_askers > 0 || now < m_startup_until;
    const double level =
        takes_over ? ask.limit.per_second * m_tunables.takeover_seconds : capacity_of(ask.limit);
    account fresh{ask.limit, now - ask.limit_age, quota_bucket(level, now), {}, 0, now, {}};
    return m_accounts.emplace(ask.subject, std::move(fresh)).first->second;
}

void quota_ledger::record_ask(account& counted, const base::router_name& asker,
                              base::monotonic_time now) const {
    const auto [place, added] = counted.askers.try_emplace(asker);
    asker_history& history = place->second;
    // A router that was missing has asked another ledger in the meantime, so that time is not an
    // interval between asks.
    if (!added && !is_missing(history, now)) {
        const double interval = base::to_seconds(now - history.asked_at);
        ++history.intervals;
        const double weight = std::max(m_tunables.interval_weight, 1.0 / history.intervals);
        history.mean_interval += weight * (interval - history.mean_interval);
    }
    history.asked_at = now;
}

bool quota_ledger::is_missing(const asker_history& history, base::monotonic_time now) const {
    const base::duration intervals =
        base::from_seconds(history.mean_interval * m_tunables.missing_after_intervals);
    const base::duration longest_silence = history.intervals == 0
                                               ? m_tunables.missing_after_one_ask
                                               : std::max(m_tunables.min_missing_after, intervals);
    return now - history.asked_at > longest_silence;
}

double quota_ledger::active_part(account& counted, base::monotonic_time now) const {
    std::erase_if(counted.askers, [&](const auto& entry) {
        return now - entry.second.asked_at > m_tunables.asker_retention;
    });
    std::size_t present = 0;
    for (const auto& [name, history] : counted.askers) {
        present += is_missing(history, now) ? 0 : 1;
    }
    const bool report_valid = now - counted.reported_at <= m_tunables.report_valid_for;
    std::size_t all =
        std::max<std::size_t>(counted.askers.size(), report_valid ? counted.reported_askers : 0);
    if (now < m_startup_until) {
        all = std::max(all, m_routers);
    }
    return static_cast<double>(present) / static_cast<double>(all);
}

/// Refused requests retry one after the other at the rate: by then the full amount they ask for is
/// available, unless new requests take it.
base::duration quota_ledger::schedule_retry(account& counted, const quota_ask& ask, double part,
                                            base::monotonic_time now) const {
    const base::monotonic_time available_at =
        now + counted.bucket.time_until_available(counted.limit, part);
    const double rate = counted.limit.per_second * part;
    const base::monotonic_time retry_at = counted.retries.schedule(
        available_at, base::from_seconds(ask.amount / rate), m_tunables.longest_retry_queue);
    return std::clamp(retry_at - now, m_tunables.shortest_retry_after,
                      m_tunables.longest_retry_after);
}

void quota_ledger::reclaim(base::monotonic_time now) {
    std::erase_if(m_accounts, [&](const auto& entry) {
        const auto& askers = entry.second.askers;
        return std::all_of(askers.begin(), askers.end(), [&](const auto& asker) {
            return now - asker.second.asked_at > m_tunables.asker_retention;
        });
    });
}

}  // namespace ferryroad::coordination::quota
