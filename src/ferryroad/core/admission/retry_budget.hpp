/// @file
/// Retries as a share of successes, so that they can't multiply an overload.
#pragma once

#include "ferryroad/core/admission/retry_allowance.hpp"
#include "ferryroad/core/admission/tunables.hpp"

namespace ferryroad::core::admission {

/// Each success saves up a share of a retry; each retry spends one. Retries never outnumber
/// the reserve plus the shares saved.
class retry_budget final : public retry_allowance {
  public:
    /// @param share retries allowed for each success, 0 or more.
    explicit retry_budget(double share, double reserve = default_admission_tunables.retry_reserve);

    void record_success() override;
    bool try_retry();
    bool try_retry(base::monotonic_time) override { return try_retry(); }
    void give_back() override;
    /// The share in force from now on.
    void change_share(double share) { share_ = share; }
    /// The reserve in force from now on; what is saved beyond it is lost.
    void change_reserve(double reserve);

  private:
    double share_;
    double reserve_;
    double balance_;
};

}  // namespace ferryroad::core::admission
