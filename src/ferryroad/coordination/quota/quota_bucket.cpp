#include "ferryroad/coordination/quota/quota_bucket.hpp"

#include <algorithm>

namespace ferryroad::coordination::quota {

namespace {

/// Burst of a limit that declares none, in seconds at its rate. Without a burst, requests that
/// arrive together would be refused below the rate.
constexpr double least_burst_seconds = 0.1;

}  // namespace

double capacity_of(const rate_limit& limit) {
    return std::max(limit.burst, limit.per_second * least_burst_seconds);
}

void quota_bucket::advance(const rate_limit& limit, double part, base::monotonic_time now) {
    const double elapsed = std::max(0.0, base::to_seconds(now - m_counted_at));
    m_counted_at = std::max(m_counted_at, now);
    m_level = std::min(m_level + limit.per_second * part * elapsed, capacity_of(limit) * part);
}

bool quota_bucket::take(double amount) {
    if (m_level <= 0) {
        return false;
    }
    m_level -= amount;
    return true;
}

void quota_bucket::charge(double amount, double max_debt) {
    m_level = std::min(m_level, std::max(m_level - amount, -max_debt));
}

base::duration quota_bucket::time_until_available(const rate_limit& limit, double part) const {
    return base::from_seconds(std::max(0.0, -m_level) / (limit.per_second * part));
}

}  // namespace ferryroad::coordination::quota
