#include "emulator/platform/rate_limiter.hpp"

#include <algorithm>

namespace ferryroad::emulator {

rate_limiter::rate_limiter(double per_second, base::duration burst)
    : per_second_(per_second), burst_(burst), tokens_(bucket_capacity()) {}

double rate_limiter::bucket_capacity() const {
    return std::max(1.0, per_second_ * base::to_seconds(burst_));
}

std::optional<base::duration> rate_limiter::take(base::monotonic_time now) {
    if (per_second_ <= 0.0) {
        return std::nullopt;
    }
    const double gained = base::to_seconds(now - last_) * per_second_;
    tokens_ = std::min(bucket_capacity(), tokens_ + gained);
    last_ = now;
    if (tokens_ >= 1.0) {
        tokens_ -= 1.0;
        return std::nullopt;
    }
    return base::from_seconds((1.0 - tokens_) / per_second_);
}

void rate_limiter::set_rate(double per_second) {
    per_second_ = per_second;
    tokens_ = bucket_capacity();
}

}  // namespace ferryroad::emulator
