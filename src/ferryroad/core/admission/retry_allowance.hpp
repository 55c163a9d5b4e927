/// @file
/// Whether a request may be tried once more.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::core::admission {

/// What requests to one target share. Not thread-safe.
class retry_allowance {
  public:
    virtual ~retry_allowance() = default;

    /// A request was answered.
    virtual void record_success() = 0;
    /// @return true where a retry may be made; it is then spent.
    virtual bool try_retry(base::monotonic_time now) = 0;
    /// The retry allowed last was not made after all.
    virtual void give_back() = 0;

  protected:
    retry_allowance() = default;
    retry_allowance(const retry_allowance&) = default;
    retry_allowance(retry_allowance&&) = default;
    retry_allowance& operator=(const retry_allowance&) = default;
    retry_allowance& operator=(retry_allowance&&) = default;
};

}  // namespace ferryroad::core::admission
