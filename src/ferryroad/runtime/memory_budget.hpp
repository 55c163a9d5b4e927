/// @file
/// Bounds the memory that messages take in a process, and decides which of them are evicted.
#pragma once

#include "ferryroad/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace ferryroad::runtime {

/// Limits of a `memory_budget`.
struct memory_limits {
    std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
    /// Share of the total that only small accounts may use, so that large messages can't keep
    /// ordinary ones out.
    double small_share = 0.25;
    /// Accounts up to this size are small.
    std::size_t small_bytes = std::size_t{128} * 1024;
    /// An account stagnates while it takes longer than `stagnation` for this much progress.
    std::size_t progress_bytes = std::size_t{64} * 1024;
    base::duration stagnation = std::chrono::seconds(1);

    friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

/// Counts since the start of the process, and the memory in use.
struct memory_counters {
    std::size_t used_bytes = 0;
    std::size_t peak_bytes = 0;
    std::uint64_t evicted = 0;  ///< Accounts that lost their memory to others.
    std::uint64_t refused = 0;  ///< Requests for memory that were refused.

    friend bool operator==(const memory_counters&, const memory_counters&) = default;
};

/// What an account may use, and when it may be evicted.
struct account_terms {
    /// Share of the budget that must suffice for all accounts together when this one grows.
    double share = 1.0;
    /// Whether it may be evicted also while it makes progress.
    bool evictable_in_progress = true;

    friend bool operator==(const account_terms&, const account_terms&) = default;
};

class memory_account;

/// The memory of all accounts of a process. If it is exhausted, the account that stagnates with the
/// most memory is evicted; if none stagnates, the large one that was opened last, so that those
/// that are nearly complete are completed. Use it from one thread.
class memory_budget {
  public:
    explicit memory_budget(memory_limits limits) : m_limits(limits) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    const memory_limits& limits() const { return m_limits; }
    const memory_counters& counters() const { return m_counters; }

  private:
    friend class memory_account;

    /// @return whether the bytes were granted. Evicts other accounts if necessary, but none if all
    /// of them would not suffice.
    bool reserve(memory_account& account, std::size_t bytes, base::monotonic_time now);
    void release(memory_account& account);
    /// @param small whether the account, which needs memory, stays small with it.
    /// @return the account to evict, which may be that one, or null if there is none.
    memory_account* victim_for(memory_account& account, bool small, base::monotonic_time now) const;
    void evict(memory_account& account);

    memory_limits m_limits;
    memory_counters m_counters;
    std::size_t m_evictable_bytes = 0;
    std::uint64_t m_opened = 0;  ///< Accounts opened so far.
    std::unordered_set<memory_account*> m_evictable;
};

/// The memory of one message. Returns it to the budget when it is destroyed. Use it from the
/// budget's thread.
class memory_account {
  public:
    /// @param clock must outlive the account.
    /// @param evict frees the memory, without waiting, and must not destroy the account, whose
    /// bytes have been returned by then. Empty: the account is never evicted.
    memory_account(std::shared_ptr<memory_budget> budget, const base::clock& clock,
                   std::function<void()> evict, account_terms terms = {});
    ~memory_account();
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// Raises the account to `bytes`; does nothing if it has as many.
    /// @return false if the budget refuses: the account is unchanged, and the owner must free its
    /// memory and give up.
    [[nodiscard]] bool grow_to(std::size_t bytes);
    /// Records progress other than growth.
    void record_progress(std::size_t bytes);
    /// From now on the account is not evicted.
    void keep();
    /// Returns all bytes to the budget.
    void release();

    std::size_t bytes() const { return m_bytes; }
    const memory_budget& budget() const { return *m_budget; }
    /// @return how long the account has been taking for its next `progress_bytes`.
    base::duration stagnant_for(base::monotonic_time now) const { return now - m_progress_at; }

  private:
    friend class memory_budget;

    std::shared_ptr<memory_budget> m_budget;
    const base::clock& m_clock;
    std::function<void()> m_evict;
    account_terms m_terms;
    std::size_t m_bytes = 0;
    std::size_t m_progress = 0;  ///< Since `m_progress_at`.
    base::monotonic_time m_progress_at;
    std::uint64_t m_number;  ///< Order of opening.
};

}  // namespace ferryroad::runtime
