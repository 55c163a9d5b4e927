/// @file
/// Token-bucket rate limiter that reads no clock: the caller passes in the time.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>

namespace ferryroad::emulator {

/// Limits the calls to one service. Not thread-safe.
class rate_limiter {
  public:
    /// @param per_second calls admitted per second; 0 means no limit.
    /// @param burst sets the bucket's capacity: the calls that the rate admits in this time, but
    /// at least one call.
    rate_limiter(double per_second, base::duration burst);

    /// Counts one call against the rate; `now` must not decrease between calls.
    /// @return `nullopt` if the call is admitted, else the time until a call will be.
    std::optional<base::duration> take(base::monotonic_time now);
    /// Changes the rate and fills the bucket.
    void set_rate(double per_second);

  private:
    double bucket_capacity() const;

    double per_second_;
    base::duration burst_;
    double tokens_;
    base::monotonic_time last_{};
};

}  // namespace ferryroad::emulator
