/// @file
/// Retry budget as a share of successful requests, so that retries don't amplify an overload.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"
#include "ferryroad/core/admission/tunables.hpp"

namespace ferryroad::core::admission {

/// Each success adds `share` of a retry to the balance; each retry takes 1 from it. The number of
/// retries never exceeds the reserve plus `share` times the number of successes.
class retry_budget final : public retry_allowance {
  public:
    /// @param share retries allowed per success, 0 or more.
    /// @param reserve initial and highest balance.
    explicit retry_budget(double share, double reserve = default_admission_tunables.retry_reserve);

    void record_success() override;
    bool try_retry();
    bool try_retry(base::monotonic_time) override { return try_retry(); }
    void give_back() override;
    /// Sets the share that later successes add.
    void change_share(double share) { share_ = share; }
    /// Sets the reserve. A balance above it is cut to it.
    void change_reserve(double reserve);

  private:
    double share_;
    double reserve_;
    double balance_;
};

}  // namespace ferryroad::core::admission
