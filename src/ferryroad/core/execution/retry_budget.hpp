/// @file
/// Keeps retries to a share of answered requests, so that a failing pool isn't flooded.
#pragma once

#include "ferryroad/core/execution/tunables.hpp"

#include <algorithm>

namespace ferryroad::core::execution {

/// Retries that requests of one kind (a route and a tenant) may still spend.
class retry_budget {
  public:
    /// @param share retries earned by each answered request, such as 0.1.
    explicit retry_budget(double share, const tunables& limits = {})
        : share_(share), ceiling_(limits.retry_ceiling), left_(limits.retry_reserve) {}

    /// A request got its whole answer.
    void record_answer() { left_ = std::min(left_ + share_, ceiling_); }

    /// @return whether a retry was left; it is then spent.
    bool try_spend() {
        if (left_ < 1.0) {
            return false;
        }
        left_ -= 1.0;
        return true;
    }

    double left() const { return left_; }
    /// The route's share was changed by its operator.
    void set_share(double share) { share_ = share; }

  private:
    double share_;
    double ceiling_;
    double left_;
};

}  // namespace ferryroad::core::execution
