/// @file
/// Exponential backoff: delays that double up to a limit.
#pragma once

#include "ferryroad/coordination/claim/tunables.hpp"

#include <algorithm>

namespace ferryroad::coordination::claim {

/// Starts at `tunables::first_delay` and stops growing at `tunables::longest_delay`.
class backoff {
  public:
    explicit backoff(const tunables& limits)
        : next_(limits.first_delay), longest_(limits.longest_delay) {}

    /// @return the delay before the next attempt; doubles it for the attempt after that.
    base::duration next() {
        const base::duration current = next_;
        next_ = std::min(2 * next_, longest_);
        return current;
    }

  private:
    base::duration next_;
    base::duration longest_;
};

}  // namespace ferryroad::coordination::claim
