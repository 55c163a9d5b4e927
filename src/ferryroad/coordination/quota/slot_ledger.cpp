#include "ferryroad/coordination/quota/slot_ledger.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

quota_verdict slot_ledger::decide(const base::router_name& asker, const quota_ask& ask,
                                  base::monotonic_time now) {
    const slot_use& use = *ask.slots;
    account& counted = account_of(ask, now);
    quota_verdict verdict;
    if (use.process_start_ms < counted.process_start_ms) {
        verdict.decided = false;  // The asking router does not know that the engine has restarted.
        return verdict;
    }
    reported_use* own = record_use(counted, asker, use, now);
    if (own == nullptr) {
        verdict.decided = false;
        return verdict;
    }
    counted.newest = use;
    record_rejections(counted, use, now);
    verdict.room = counted.room.room(use.listed, now);
    verdict.askers = static_cast<std::uint32_t>(counted.uses.size());
    if (ask.amount <= 0) {
        return verdict;
    }
    if (now < std::max(counted.grants_from, m_startup_until)) {
        verdict.decided = false;
        return verdict;
    }
    verdict.granted = counted.queue.empty() && has_room(counted, now);
    if (verdict.granted) {
        own->granted.insert(use.number);
        return verdict;
    }
    const double longest_queue = m_tunables.longest_queue * verdict.room;
    if (ask.wait > base::duration{} && static_cast<double>(counted.queue.size()) < longest_queue) {
        counted.queue.push_back({{asker, use.number}, now + ask.wait});
        verdict.queued = true;
        return verdict;
    }
    const base::monotonic_time earliest =
        std::max(pause_end(counted, use, now), now + m_tunables.retry_interval);
    verdict.retry_after = counted.retries.schedule(earliest, m_tunables.retry_interval,
                                                   m_tunables.longest_retry_queue) -
                          now;
    return verdict;
}

slot_ledger::reported_use* slot_ledger::record_use(account& counted, const base::router_name& asker,
                                                   const slot_use& use, base::monotonic_time now) {
    reported_use& own = counted.uses[asker];
    if (own.asker_process != use.asker_process) {
        own = reported_use{};
        own.asker_process = use.asker_process;
        std::erase_if(counted.queue, [&](const auto& one) { return one.id.asker == asker; });
    }
    if (use.number < own.number) {
        return nullptr;
    }
    const auto is_resolved = [&](std::uint64_t number) {
        return number < use.number &&
               std::find(use.pending.begin(), use.pending.end(), number) == use.pending.end();
    };
    own.number = use.number;
    own.running = use.running;
    own.reported_at = now;
    std::erase_if(own.granted, is_resolved);
    std::erase_if(counted.queue, [&](const auto& one) {
        return one.id.asker == asker && is_resolved(one.id.number);
    });
    return &own;
}

std::optional<slot_ask_id> slot_ledger::take_granted(const quota_subject& engine,
                                                     base::monotonic_time now) {
    const auto found = m_accounts.find(engine);
    if (found == m_accounts.end()) {
        return std::nullopt;
    }
    account& counted = found->second;
    std::erase_if(counted.queue, [&](const auto& one) {
        return one.until <= now || !counted.uses.contains(one.id.asker);
    });
    if (counted.queue.empty() || !has_room(counted, now)) {
        return std::nullopt;
    }
    const slot_ask_id next = counted.queue.front().id;
    counted.queue.pop_front();
    counted.uses[next.asker].granted.insert(next.number);
    return next;
}

bool slot_ledger::has_room(account& counted, base::monotonic_time now) const {
    const slot_use& use = counted.newest;
    return pause_end(counted, use, now) <= now &&
           total_use(counted, now) < counted.room.room(use.listed, now);
}

slot_ledger::account& slot_ledger::account_of(const quota_ask& ask, base::monotonic_time now) {
    const account fresh(now + m_tunables.gathering_period, ask.slots->process_start_ms,
                        learned_room(m_tunables.room));
    account& counted = m_accounts.try_emplace(ask.subject, fresh).first->second;
    if (ask.slots->process_start_ms > counted.process_start_ms) {
        // No router uses a slot of the new process yet.
        counted = fresh;
        counted.grants_from = now;
    }
    counted.asked_at = now;
    return counted;
}

std::size_t slot_ledger::total_use(account& counted, base::monotonic_time now) const {
    std::erase_if(counted.uses, [&](const auto& entry) {
        return now - entry.second.reported_at > m_tunables.report_lifetime;
    });
    std::size_t total = 0;
    for (const auto& [asker, use] : counted.uses) {
        total += use.in_use();
    }
    return total;
}

void slot_ledger::record_rejections(account& counted, const slot_use& use,
                                    base::monotonic_time now) const {
    std::erase_if(counted.rejections,
                  [&](const auto& at) { return now - at > m_tunables.rejection_window; });
    for (std::uint32_t count = 0; count < use.rejected; ++count) {
        counted.room.record_rejection(use.listed,
                                      static_cast<std::uint32_t>(total_use(counted, now)), now);
        counted.rejections.push_back(now);
    }
}

base::monotonic_time slot_ledger::pause_end(const account& counted, const slot_use& use,
                                            base::monotonic_time now) const {
    const auto tolerated = std::max<std::size_t>(
        1, static_cast<std::size_t>(m_tunables.tolerated_rejections * use.rejection_limit));
    if (counted.rejections.size() < tolerated) {
        return now;
    }
    return counted.rejections[counted.rejections.size() - tolerated] + m_tunables.rejection_window;
}

void slot_ledger::reclaim(base::monotonic_time now) {
    std::erase_if(m_accounts, [&](const auto& entry) {
        return now - entry.second.asked_at > m_tunables.account_lifetime;
    });
}

}  // namespace ferryroad::coordination::quota
