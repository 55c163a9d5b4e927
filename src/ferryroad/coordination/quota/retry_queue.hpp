/// @file
/// Spreads the retries of refused requests over time, so that they don't all return together.
#pragma once

#include "ferryroad/base/time.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

/// Assigns times of retry one after the other. Not thread-safe.
class retry_queue {
  public:
    /// @param available_at when the next request can be granted.
    /// @param interval between two retries.
    /// @param longest how long after `available_at` a retry is at most scheduled. When the queue is
    /// that long, a new one is started.
    /// @return when the request should retry.
    base::monotonic_time schedule(base::monotonic_time available_at, base::duration interval,
                                  base::duration longest) {
        const bool full = m_next > available_at + longest;
        const base::monotonic_time retry_at = full ? available_at : std::max(available_at, m_next);
        m_next = retry_at + interval;
        return retry_at;
    }

  private:
    base::monotonic_time m_next{};
};

}  // namespace ferryroad::coordination::quota
