#include "ferryroad/coordination/quota/equal_shares.hpp"

namespace ferryroad::coordination::quota {

namespace {

/// What a new share may grant at once, in seconds at its rate.
constexpr double initial_burst_seconds = 0.1;

double first_level(const quota_ask& ask, double part, base::random_source& random) {
    return ask.subject.kind == subject_kind::engine
               ? -ask.amount * random.unit()
               : ask.limit.per_second * part * initial_burst_seconds;
}

}  // namespace

quota_verdict equal_shares::decide(const quota_ask& ask, std::size_t routers,
                                   base::monotonic_time now, base::random_source& random) {
    const double part = 1.0 / static_cast<double>(routers);
    auto found = m_shares.find(ask.subject);
    if (found == m_shares.end()) {
        const share fresh{ask.limit, part, quota_bucket(first_level(ask, part, random), now)};
        found = m_shares.emplace(ask.subject, fresh).first;
    }
    share& own = found->second;
    own.bucket.advance(own.limit, own.part, now);
    own.limit = ask.limit;
    own.part = part;
    quota_verdict verdict;
    verdict.granted = own.bucket.take(ask.amount);
    if (!verdict.granted) {
        verdict.retry_after = own.bucket.time_until_available(own.limit, own.part);
    }
    return verdict;
}

void equal_shares::reclaim(base::monotonic_time now) {
    std::erase_if(m_shares, [now](const auto& entry) {
        share own = entry.second;
        own.bucket.advance(own.limit, own.part, now);
        return own.bucket.level() >= capacity_of(own.limit) * own.part;
    });
}

}  // namespace ferryroad::coordination::quota
