#include "ferryroad/quotas/quota_service.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::quotas {

quota_service::quota_service(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                             quota_settings settings)
    : m_scheduler(scheduler),
      m_settings(settings),
      m_homes(scheduler, std::move(self), std::move(ask),
              [this](const auto& asker, const auto& question, const auto&) {
                  return decide_for(asker, question);
              }),
      m_ledger(scheduler.now(), settings.ledger) {}

void quota_service::set_routers(std::vector<base::router_name> present,
                                coordination::quota::router_regions regions) {
    m_homes.set_routers(std::move(present), std::move(regions));
}

void quota_service::expect_routers(std::size_t expected) {
    m_expected_routers = expected;
    m_ledger.expect_routers(expected);
}

runtime::task<quota_decision> quota_service::count(quota_subject subject, rate_limit limit,
                                                   double amount, limit_evidence evidence,
                                                   base::region_name region) {
    reclaim();
    quota_ask question{std::move(subject), amount, limit, 0, evidence.uncounted,
                       evidence.limit_age};
    question.known_askers = known_askers(question.subject);
    for (std::size_t attempt = 0; attempt < m_settings.max_attempts; ++attempt) {
        const auto home = m_homes.homes().home_of(question.subject, m_scheduler.now(), region);
        if (!home) {
            break;
        }
        base::router_name target = *home;
        quota_ask sent = question;
        const auto verdict = co_await m_homes.ask(std::move(target), std::move(sent));
        if (verdict) {
            record_askers(question.subject, verdict->askers);
            co_return quota_decision{*verdict, *home};
        }
    }
    co_return quota_decision{decide_locally(question), {}};
}

quota_verdict quota_service::decide_for(const base::router_name& asker, const quota_ask& question) {
    ++m_counters.asks_decided;
    return m_ledger.decide(asker, question, m_scheduler.now());
}

quota_verdict quota_service::decide_locally(const quota_ask& question) {
    ++m_counters.own_share_decided;
    const std::size_t share_count = std::max<std::size_t>(
        {1, question.known_askers, m_homes.homes().size(), m_expected_routers});
    return m_own_shares.decide(question, share_count, m_scheduler.now(), m_scheduler.random());
}

std::uint32_t quota_service::known_askers(const quota_subject& subject) const {
    const auto found = m_reported_askers.find(subject);
    return found == m_reported_askers.end() ? 0 : found->second.count;
}

/// Keeps the highest count reported within `report_valid_for`: a router that has just become the
/// home doesn't know all routers that ask yet.
void quota_service::record_askers(const quota_subject& subject, std::uint32_t count) {
    const base::monotonic_time now = m_scheduler.now();
    reported_askers& reported = m_reported_askers[subject];
    if (count >= reported.count ||
        now - reported.reported_at > m_ledger.tunables().report_valid_for) {
        reported = {count, now};
    }
}

void quota_service::reclaim() {
    const base::monotonic_time now = m_scheduler.now();
    if (now - m_reclaimed_at < m_settings.reclaim_period) {
        return;
    }
    m_reclaimed_at = now;
    m_ledger.reclaim(now);
    m_own_shares.reclaim(now);
    std::erase_if(m_reported_askers, [&](const auto& entry) {
        return now - entry.second.reported_at > m_ledger.tunables().asker_retention;
    });
}

}  // namespace ferryroad::quotas
