/// @file
/// Counts what subjects are granted, for all routers that ask this ledger. Each asking router
/// contributes an equal part of the limit. While routers ask different ledgers (because their
/// member lists differ or the network is partitioned), each ledger grants only the parts of the
/// routers that ask it, so that all ledgers together stay near the limit without agreement.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/quota_bucket.hpp"
#include "ferryroad/coordination/quota/retry_queue.hpp"
#include "ferryroad/coordination/quota/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace ferryroad::coordination::quota {

/// Settings of `quota_ledger`.
struct ledger_tunables {
    /// A router that asked before counts as missing once it has been silent for this many times its
    /// mean interval between asks. If requests arrive at random, one interval in 150 is that long.
    double missing_after_intervals = 5;
    /// Lower limit of that time, because the intervals of busy routers vary.
    base::duration min_missing_after = std::chrono::seconds(1);
    /// The same time for a router that asked only once.
    base::duration missing_after_one_ask = std::chrono::seconds(5);
    /// Minimum weight of the newest interval in the mean; the first intervals all have equal
    /// weight.
    double interval_weight = 0.1;
    /// How long the part of a missing router is withheld from the others: a network partition lasts
    /// longer than a restart.
    base::duration asker_retention = std::chrono::seconds(60);
    /// How long the number of routers counted by another ledger is relied on.
    base::duration report_valid_for = std::chrono::seconds(30);
    /// What a ledger that takes over a subject may grant at once, in seconds at the rate: the
    /// previous ledger may have granted the burst a moment ago.
    double takeover_seconds = 0.1;
    /// Uncounted requests that routers report delay grants by at most this, in seconds at the rate.
    double longest_debt_seconds = 3;
    /// For this long after its start, a process can't know what other ledgers granted just before,
    /// nor which routers exist. It then grants no burst, and only the parts of the routers that ask
    /// it.
    base::duration startup_period = std::chrono::seconds(4);
    /// Refused requests get retry delays such that they retry one after the other, at most this
    /// long after the next possible grant. A longer queue would never be served, because new
    /// requests keep arriving: a caller that waits for its end would be late and as likely to be
    /// refused again as one that retries at once.
    base::duration longest_retry_queue = std::chrono::milliseconds(500);
    /// Limits of the retry delay. A delay much longer than callers wait would be useless.
    base::duration shortest_retry_after = std::chrono::milliseconds(50);
    base::duration longest_retry_after = std::chrono::seconds(10);
};

/// @return settings for limits of engines. Routers ask about an engine seldom and irregularly, as
/// each sends it few requests, so a router that has been silent for some seconds is not missing.
ledger_tunables engine_ledger_tunables();

/// Pure: the verdict depends only on the state, the ask and the time. Not thread-safe.
class quota_ledger {
  public:
    /// @param started when this process started.
    explicit quota_ledger(base::monotonic_time started, ledger_tunables tunables = {})
        : m_tunables(tunables), m_startup_until(started + tunables.startup_period) {}

    const ledger_tunables& tunables() const { return m_tunables; }
    /// @param routers number of routers that exist, as far as is known; at least 1.
    void expect_routers(std::size_t routers) { m_routers = routers; }

    /// @param ask must have a limit above 0.
    /// @return whether the amount was counted and granted.
    quota_verdict decide(const base::router_name& asker, const quota_ask& ask,
                         base::monotonic_time now);
    /// @return number of subjects counted here.
    std::size_t size() const { return m_accounts.size(); }
    /// Removes subjects that no router has asked for during `asker_retention`. Must be called
    /// periodically.
    void reclaim(base::monotonic_time now);

  private:
    /// Recent asks of one router for one subject.
    struct asker_history {
        base::monotonic_time asked_at{};
        std::uint32_t intervals = 0;
        double mean_interval = 0;  ///< In seconds.
    };
    struct account {
        rate_limit limit;
        base::monotonic_time limit_learned_at{};
        quota_bucket bucket;
        std::map<base::router_name, asker_history> askers;
        std::uint32_t reported_askers = 0;
        base::monotonic_time reported_at{};
        retry_queue retries;
    };

    account& account_of(const quota_ask& ask, base::monotonic_time now);
    static void apply_limit(account& counted, const quota_ask& ask, base::monotonic_time now);
    void record_ask(account& counted, const base::router_name& asker,
                    base::monotonic_time now) const;
    bool is_missing(const asker_history& history, base::monotonic_time now) const;
    double active_part(account& counted, base::monotonic_time now) const;
    base::duration schedule_retry(account& counted, const quota_ask& ask, double part,
                                  base::monotonic_time now) const;

    ledger_tunables m_tunables;
    base::monotonic_time m_startup_until;
    std::size_t m_routers = 1;
    std::unordered_map<quota_subject, account, quota_subject_hash> m_accounts;
};

}  // namespace ferryroad::coordination::quota
