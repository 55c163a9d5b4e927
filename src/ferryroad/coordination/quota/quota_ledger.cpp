#include "ferryroad/coordination/quota/quota_ledger.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

quota_verdict quota_ledger::decide(const base::router_name& asker, const quota_ask& ask,
                                   base::monotonic_time now) {
    account& of = account_of(ask, now);
    note_asker(of, asker, now);
    if (ask.known_askers >= of.told_askers || now - of.told_at > m_tunables.told_for) {
        of.told_askers = ask.known_askers;
        of.told_at = now;
    }
    const double part = part_of(of, now);
    of.bucket.advance(of.limit, part, now);
    if (ask.limit.revision.value >= of.limit.revision.value) {
        of.limit = ask.limit;
    }
    quota_verdict verdict;
    verdict.granted = of.bucket.take(ask.amount);
    verdict.askers = static_cast<std::uint32_t>(of.askers.size());
    if (!verdict.granted) {
        verdict.retry_after = return_in(of, ask, part, now);
    }
    return verdict;
}

quota_ledger::account& quota_ledger::account_of(const quota_ask& ask, base::monotonic_time now) {
    const auto found = m_accounts.find(ask.tenant);
    if (found != m_accounts.end()) {
        return found->second;
    }
    const bool takes_over = ask.known_askers > 0 || now < m_grown_at;
    const double level =
        takes_over ? ask.limit.per_second * m_tunables.takeover_seconds : capacity_of(ask.limit);
    account fresh{ask.limit, quota_bucket(level, now), {}, 0, now, now};
    return m_accounts.emplace(ask.tenant, std::move(fresh)).first->second;
}

void quota_ledger::note_asker(account& of, const base::router_name& asker,
                              base::monotonic_time now) const {
    const auto [place, added] = of.askers.try_emplace(asker);
    asker_history& one = place->second;
    // Who was missed asked elsewhere meanwhile: that was no pause.
    if (!added && !is_missed(one, now)) {
        const double pause = base::to_seconds(now - one.asked_at);
        ++one.pauses;
        const double weight = std::max(m_tunables.pause_weight, 1.0 / one.pauses);
        one.mean_pause += weight * (pause - one.mean_pause);
    }
    one.asked_at = now;
}

bool quota_ledger::is_missed(const asker_history& one, base::monotonic_time now) const {
    const base::duration pauses = base::from_seconds(one.mean_pause * m_tunables.missed_pauses);
    const base::duration patience =
        one.pauses == 0 ? m_tunables.missed_after_one : std::max(m_tunables.least_missed, pauses);
    return now - one.asked_at > patience;
}

double quota_ledger::part_of(account& of, base::monotonic_time now) const {
    std::erase_if(of.askers, [&](const auto& entry) {
        return now - entry.second.asked_at > m_tunables.remembered;
    });
    std::size_t present = 0;
    for (const auto& [name, one] : of.askers) {
        present += is_missed(one, now) ? 0 : 1;
    }
    const bool told = now - of.told_at <= m_tunables.told_for;
    std::size_t all = std::max<std::size_t>(of.askers.size(), told ? of.told_askers : 0);
    if (now < m_grown_at) {
        all = std::max(all, m_routers);
    }
    return static_cast<double>(present) / static_cast<double>(all);
}

/// Those who are refused come back one after the other, at the rate: the whole of what they ask
/// for is left by then, unless new requests take it. A line that is full begins anew.
base::duration quota_ledger::return_in(account& of, const quota_ask& ask, double part,
                                       base::monotonic_time now) const {
    const base::monotonic_time open = now + of.bucket.time_until_open(of.limit, part);
    const bool line_ended = of.next_return > open + m_tunables.longest_line;
    const base::monotonic_time back = line_ended ? open : std::max(open, of.next_return);
    const double rate = of.limit.per_second * part;
    of.next_return = back + base::from_seconds(ask.amount / rate);
    return std::clamp(back - now, m_tunables.shortest_return, m_tunables.longest_return);
}

void quota_ledger::reclaim(base::monotonic_time now) {
    std::erase_if(m_accounts, [&](const auto& entry) {
        const auto& askers = entry.second.askers;
        return std::all_of(askers.begin(), askers.end(), [&](const auto& asker) {
            return now - asker.second.asked_at > m_tunables.remembered;
        });
    });
}

}  // namespace ferryroad::coordination::quota
