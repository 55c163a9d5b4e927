/// @file
/// Rate with a burst.
#pragma once

#include "ferryroad/base/time.hpp"

namespace ferryroad::core::admission {

/// Fills at `rate` a second up to `burst`; each admission takes one token. Starts full.
class token_bucket {
  public:
    /// @param rate tokens a second, above 0. @param burst at least 1.
    token_bucket(double rate, double burst, base::monotonic_time now);

    /// Goes on with other figures; tokens above the new burst are lost.
    void change(double rate, double burst, base::monotonic_time now);
    /// @return true where a token was there and taken.
    bool take(base::monotonic_time now);
    /// @return until a token is there, if none is taken meanwhile; 0 where one is.
    base::duration time_until_token(base::monotonic_time now) const;
    /// @return true where nothing would be lost by starting afresh.
    bool full(base::monotonic_time now) const;

  private:
    double tokens_at(base::monotonic_time now) const;

    double rate_;
    double burst_;
    double tokens_;
    base::monotonic_time counted_at_;
};

}  // namespace ferryroad::core::admission
