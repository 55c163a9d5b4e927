#include "ferryroad/coordination/quota/quota_ledger.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

quota_verdict quota_ledger::decide(const base::router_name& asker, const quota_ask& ask,
                                   base::monotonic_time now) {
    account& tenant_account = account_of(ask, now);
    record_ask(tenant_account, asker, now);
    if (ask.known_askers >= tenant_account.reported_askers ||
        now - tenant_account.reported_at > m_tunables.report_valid_for) {
        tenant_account.reported_askers = ask.known_askers;
        tenant_account.reported_at = now;
    }
    const double part = active_part(tenant_account, now);
    tenant_account.bucket.advance(tenant_account.limit, part, now);
    if (ask.limit.revision.value >= tenant_account.limit.revision.value) {
        tenant_account.limit = ask.limit;
    }
    quota_verdict verdict;
    verdict.granted = tenant_account.bucket.take(ask.amount);
    verdict.askers = static_cast<std::uint32_t>(tenant_account.askers.size());
    if (!verdict.granted) {
        verdict.retry_after = schedule_retry(tenant_account, ask, part, now);
    }
    return verdict;
}

quota_ledger::account& quota_ledger::account_of(const quota_ask& ask, base::monotonic_time now) {
    const auto found = m_accounts.find(ask.tenant);
    if (found != m_accounts.end()) {
        return found->second;
    }
    const bool takes_over = ask.known_askers > 0 || now < m_startup_until;
    const double level =
        takes_over ? ask.limit.per_second * m_tunables.takeover_seconds : capacity_of(ask.limit);
    account fresh{ask.limit, quota_bucket(level, now), {}, 0, now, now};
    return m_accounts.emplace(ask.tenant, std::move(fresh)).first->second;
}

void quota_ledger::record_ask(account& tenant_account, const base::router_name& asker,
                              base::monotonic_time now) const {
    const auto [place, added] = tenant_account.askers.try_emplace(asker);
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

double quota_ledger::active_part(account& tenant_account, base::monotonic_time now) const {
    std::erase_if(tenant_account.askers, [&](const auto& entry) {
        return now - entry.second.asked_at > m_tunables.asker_retention;
    });
    std::size_t present = 0;
    for (const auto& [name, history] : tenant_account.askers) {
        present += is_missing(history, now) ? 0 : 1;
    }
    const bool report_valid = now - tenant_account.reported_at <= m_tunables.report_valid_for;
    std::size_t all = std::max<std::size_t>(tenant_account.askers.size(),
                                            report_valid ? tenant_account.reported_askers : 0);
    if (now < m_startup_until) {
        all = std::max(all, m_routers);
    }
    return static_cast<double>(present) / static_cast<double>(all);
}

/// Refused requests retry one after the other at the rate: by then the full amount they ask for is
/// available, unless new requests take it. When the queue of retries is full, a new one is started.
base::duration quota_ledger::schedule_retry(account& tenant_account, const quota_ask& ask,
                                            double part, base::monotonic_time now) const {
    const base::monotonic_time available_at =
        now + tenant_account.bucket.time_until_available(tenant_account.limit, part);
    const bool queue_full =
        tenant_account.next_retry > available_at + m_tunables.longest_retry_queue;
    const base::monotonic_time retry_at =
        queue_full ? available_at : std::max(available_at, tenant_account.next_retry);
    const double rate = tenant_account.limit.per_second * part;
    tenant_account.next_retry = retry_at + base::from_seconds(ask.amount / rate);
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
