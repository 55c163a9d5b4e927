/// @file
/// Delays that double up to a limit.
#pragma once

#include "ferryroad/coordination/claim/tunables.hpp"

#include <algorithm>

namespace ferryroad::coordination::claim {

class backoff {
  public:
    explicit backoff(const tunables& limits)
        : next_(limits.first_delay), longest_(limits.longest_delay) {}

    /// @return the delay before the next try.
    base::duration next() {
        const base::duration now = next_;
        next_ = std::min(2 * next_, longest_);
        return now;
    }

  private:
    base::duration next_;
    base::duration longest_;
};

}  // namespace ferryroad::coordination::claim
