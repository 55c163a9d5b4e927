/// @file
/// Interface of retry budgets.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::core::admission {

/// Limits the retries of the requests that share it, such as those to one pool. Not thread-safe.
class retry_allowance {
  public:
    virtual ~retry_allowance() = default;

    /// Records that a request was answered.
    virtual void record_success() = 0;
    /// Takes one retry from the budget.
    /// @return whether the retry is allowed.
    virtual bool try_retry(base::monotonic_time now) = 0;
    /// Returns the retry allowed last to the budget, because it was not made.
    virtual void give_back() = 0;

  protected:
    retry_allowance() = default;
    retry_allowance(const retry_allowance&) = default;
    retry_allowance(retry_allowance&&) = default;
    retry_allowance& operator=(const retry_allowance&) = default;
    retry_allowance& operator=(retry_allowance&&) = default;
};

}  // namespace ferryroad::core::admission
