#include "ferryroad/quotas/slot_service.hpp"

#include <utility>

namespace ferryroad::quotas {

slot_service::slot_service(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                           coordination::quota::slot_ledger_tunables tunables)
    : m_scheduler(scheduler),
      m_ledger(scheduler.now(), tunables),
      m_homes(scheduler, std::move(self), std::move(ask),
              [this](const auto& asker, const auto& question, const later_verdict& later) {
                  return decide_for(asker, question, later);
              }) {}

void slot_service::set_routers(std::vector<base::router_name> present,
                               coordination::quota::router_regions regions) {
    m_homes.set_routers(std::move(present), std::move(regions));
}

runtime::task<std::optional<slot_decision>> slot_service::acquire(located_engine engine,
                                                                  slot_use use,
                                                                  base::duration wait) {
    quota_ask question;
    question.subject = std::move(engine.name);
    question.amount = 1;
    question.slots = std::move(use);
    question.wait = wait;
    return ask(std::move(question), std::move(engine.region));
}

runtime::task<bool> slot_service::report(located_engine engine, slot_use use) {
    quota_ask question;
    question.subject = std::move(engine.name);
    question.slots = std::move(use);
    const auto answer = co_await ask(std::move(question), std::move(engine.region));
    co_return answer && answer->verdict.decided;
}

runtime::task<std::optional<slot_decision>> slot_service::ask(quota_ask question,
                                                              base::region_name region) {
    const auto home = m_homes.homes().first_home_of(question.subject, region);
    const bool needs_verdict = question.amount > 0;
    // Slots in use are reported to an excluded home, too: it may hear this router although its
    // answers don't arrive, and would grant them again.
    if (!home || (needs_verdict && m_homes.homes().is_excluded(*home, m_scheduler.now()))) {
        slot_decision undecided;
        undecided.verdict.decided = false;
        co_return undecided;
    }
    base::router_name target = *home;
    const auto verdict = co_await m_homes.ask(std::move(target), std::move(question));
    co_return verdict ? std::optional(slot_decision{*verdict, *home}) : std::nullopt;
}

quota_verdict slot_service::decide_for(const base::router_name& asker, const quota_ask& question,
                                       later_verdict later) {
    const base::monotonic_time now = m_scheduler.now();
    drop_expired();
    const quota_verdict verdict = m_ledger.decide(asker, question, now);
    if (verdict.queued) {
        m_queued[{asker, question.slots->number}] = {std::move(later), now + question.wait};
    }
    grant_queued(question.subject);
    return verdict;
}

void slot_service::grant_queued(const quota_subject& engine) {
    while (const auto granted = m_ledger.take_granted(engine, m_scheduler.now())) {
        const auto queued = m_queued.extract(*granted);
        if (!queued.empty()) {
            quota_verdict verdict;
            verdict.granted = true;
            queued.mapped().answer(verdict);
        }
    }
}

void slot_service::drop_expired() {
    const base::monotonic_time now = m_scheduler.now();
    if (now - m_dropped_at < coordination::quota::slot_report_interval) {
        return;
    }
    m_dropped_at = now;
    std::erase_if(m_queued, [&](const auto& entry) { return entry.second.until < now; });
    m_ledger.reclaim(now);
}

}  // namespace ferryroad::quotas
