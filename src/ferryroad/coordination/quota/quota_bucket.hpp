/// @file
/// Token bucket that may be overdrawn: a request that costs more than the whole burst is still
/// granted, and later requests are refused until the debt is paid.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/types.hpp"

namespace ferryroad::coordination::quota {

/// Token bucket for a router's part of a limit. Not thread-safe.
class quota_bucket {
  public:
    /// @param level initial level, bounded by the burst of the part.
    quota_bucket(double level, base::monotonic_time now) : m_level(level), m_counted_at(now) {}

    /// Refills the bucket for the time since the last call, at the given part of the rate.
    /// @param part fraction of the limit enforced here, from 0 to 1.
    void advance(const rate_limit& limit, double part, base::monotonic_time now);
    /// Takes `amount` if the level is above 0. `advance` must be called before.
    /// @return whether `amount` was taken.
    bool take(double amount);
    /// Takes `amount` that was already used, whatever the level is.
    /// @param max_debt what the bucket then owes at most, unless it owes more already.
    void charge(double amount, double max_debt);
    /// @param part fraction of the limit enforced here, above 0.
    /// @return the time until the level is no longer below 0.
    base::duration time_until_available(const rate_limit& limit, double part) const;
    /// @return what may be spent now; negative while in debt.
    double level() const { return m_level; }

  private:
    double m_level;
    base::monotonic_time m_counted_at;
};

/// @return the capacity of a bucket that enforces the whole limit.
double capacity_of(const rate_limit& limit);

}  // namespace ferryroad::coordination::quota
