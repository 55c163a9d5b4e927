#include "ferryroad/runtime/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::runtime {

bool memory_budget::reserve(memory_account& account, std::size_t bytes, base::monotonic_time now) {
    const bool small = account.m_bytes + bytes <= m_limits.small_bytes;
    const double share = account.m_terms.share * (small ? 1.0 : 1.0 - m_limits.small_share);
    const auto limit = static_cast<std::size_t>(static_cast<double>(m_limits.total_bytes) * share);
    const std::size_t own = m_evictable.contains(&account) ? account.m_bytes : 0;
    const std::size_t kept = m_counters.used_bytes - m_evictable_bytes + own;
    bool granted = kept + bytes <= limit;
    while (granted && m_counters.used_bytes + bytes > limit) {
        memory_account* victim = victim_for(account, small, now);
        granted = victim != nullptr && victim != &account;
        if (granted) {
            evict(*victim);
        }
    }
    if (!granted) {
        ++m_counters.refused;
        return false;
    }
    m_counters.used_bytes += bytes;
    m_counters.peak_bytes = std::max(m_counters.peak_bytes, m_counters.used_bytes);
    account.m_bytes += bytes;
    if (account.m_evict) {
        m_evictable.insert(&account);
        m_evictable_bytes += bytes;
    }
    return true;
}

void memory_budget::release(memory_account& account) {
    m_counters.used_bytes -= account.m_bytes;
    if (m_evictable.erase(&account) > 0) {
        m_evictable_bytes -= account.m_bytes;
    }
}

memory_account* memory_budget::victim_for(memory_account& account, bool small,
                                          base::monotonic_time now) const {
    memory_account* most_stagnant = nullptr;
    double most = 0;
    // A small account takes the place of any large one, a large one only of those opened later.
    memory_account* newest = small ? nullptr : &account;
    for (memory_account* one : m_evictable) {
        const base::duration stagnant = one->stagnant_for(now);
        const double cost = base::to_seconds(stagnant) * static_cast<double>(one->m_bytes);
        if (stagnant >= m_limits.stagnation && cost > most) {
            most_stagnant = one;
            most = cost;
        }
        const bool newer = newest == nullptr || one->m_number > newest->m_number;
        const bool large = one->m_bytes > m_limits.small_bytes;
        if (large && newer && one->m_terms.evictable_in_progress) {
            newest = one;
        }
    }
    return most_stagnant != nullptr ? most_stagnant : newest;
}

void memory_budget::evict(memory_account& account) {
    ++m_counters.evicted;
    account.release();
    account.m_evict();
}

memory_account::memory_account(std::shared_ptr<memory_budget> budget, const base::clock& clock,
                               std::function<void()> evict, account_terms terms)
    : m_budget(std::move(budget)),
      m_clock(clock),
      m_evict(std::move(evict)),
      m_terms(terms),
      m_progress_at(clock.now()),
      m_number(++m_budget->m_opened) {}

memory_account::~memory_account() {
    release();
}

bool memory_account::grow_to(std::size_t bytes) {
    if (bytes <= m_bytes) {
        return true;
    }
    const std::size_t more = bytes - m_bytes;
    if (!m_budget->reserve(*this, more, m_clock.now())) {
        return false;
    }
    record_progress(more);
    return true;
}

void memory_account::record_progress(std::size_t bytes) {
    m_progress += bytes;
    if (m_progress >= m_budget->limits().progress_bytes) {
        m_progress = 0;
        m_progress_at = m_clock.now();
    }
}

void memory_account::keep() {
    if (m_budget->m_evictable.erase(this) > 0) {
        m_budget->m_evictable_bytes -= m_bytes;
    }
    m_evict = nullptr;
}

void memory_account::release() {
    m_budget->release(*this);
    m_bytes = 0;
}

}  // namespace ferryroad::runtime
