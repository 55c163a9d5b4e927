/// @file
/// Token bucket: a rate limit with a burst.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::core::admission {

/// Gains `rate` tokens per second up to `burst`; each admission takes one. Starts full. Not
/// thread-safe.
class token_bucket {
  public:
    /// @param rate tokens per second, above 0.
    /// @param burst capacity in tokens, at least 1.
    token_bucket(double rate, double burst, base::monotonic_time now);

    /// Changes rate and burst; tokens above the new burst are lost.
    void change(double rate, double burst, base::monotonic_time now);
    /// Takes a token if one is available.
    /// @return whether a token was taken.
    bool take(base::monotonic_time now);
    /// @return the time until a token is available if none is taken meanwhile; 0 if one is
    /// available now.
    base::duration time_until_token(base::monotonic_time now) const;
    /// @return whether the bucket is full, and so in the same state as a new one.
    bool full(base::monotonic_time now) const;

  private:
    double tokens_at(base::monotonic_time now) const;

    double rate_;
    double burst_;
    double tokens_;
    base::monotonic_time counted_at_;
};

}  // namespace ferryroad::core::admission
