/// @file
/// Calls per second as a token bucket; time is passed in.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>

namespace ferryroad::emulator {

class rate_limiter {
  public:
    /// @param per_second calls; 0: no limit. @param burst that much time's calls may come at
    /// once, at least one call.
    rate_limiter(double per_second, base::duration burst);

    /// Takes one call. @return nothing where it is within the rate, else the time until one is.
    std::optional<base::duration> take(base::monotonic_time now);
    /// Another rate from now on; the bucket starts full.
    void set_rate(double per_second);

  private:
    double most_tokens() const;

    double per_second_;
    base::duration burst_;
    double tokens_;
    base::monotonic_time last_{};
};

}  // namespace ferryroad::emulator
