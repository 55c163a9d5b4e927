#include "ferryroad/core/admission/token_bucket.hpp"

#include <algorithm>

namespace ferryroad::core::admission {

namespace {

/// Tolerance in tokens, so that rounding does not refuse a full token. At usual rates it is less
/// than a bucket gains in a nanosecond.
constexpr double token_tolerance = 1e-6;

}  // namespace

token_bucket::token_bucket(double rate, double burst, base::monotonic_time now)
    : rate_(rate), burst_(burst), tokens_(burst), counted_at_(now) {}

void token_bucket::change(double rate, double burst, base::monotonic_time now) {
    tokens_ = std::min(tokens_at(now), burst);
    counted_at_ = now;
    rate_ = rate;
    burst_ = burst;
}

bool token_bucket::take(base::monotonic_time now) {
    tokens_ = tokens_at(now);
    counted_at_ = std::max(counted_at_, now);
    if (tokens_ < 1 - token_tolerance) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

base::duration token_bucket::time_until_token(base::monotonic_time now) const {
    const double missing = 1 - tokens_at(now);
    return missing <= token_tolerance ? base::duration::zero()
                                      : base::from_seconds(missing / rate_);
}

bool token_bucket::full(base::monotonic_time now) const {
    return tokens_at(now) >= burst_ - token_tolerance;
}

double token_bucket::tokens_at(base::monotonic_time now) const {
    const double elapsed = std::max(0.0, base::to_seconds(now - counted_at_));
    return std::min(burst_, tokens_ + rate_ * elapsed);
}

}  // namespace ferryroad::core::admission
