/// @file
/// Checks requests against rate limits that apply to all routers together. One router, the home,
/// keeps the count for a subject, such as a tenant; the others ask it. This service does both: it
/// asks the homes of other subjects, and answers for the subjects whose home is this router.
#pragma once

#include "ferryroad/coordination/quota/equal_shares.hpp"
#include "ferryroad/coordination/quota/quota_ledger.hpp"
#include "ferryroad/quotas/home_client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::quotas {

using coordination::quota::rate_limit;

struct quota_settings {
    /// Attempts to ask a home per request. If none is answered, this router decides by its own
    /// equal share of the limit.
    std::size_t max_attempts = 2;
    coordination::quota::ledger_tunables ledger = {};
    /// Shortest time between two removals of subjects that haven't been asked about for long.
    base::duration reclaim_period = std::chrono::seconds(10);
};

/// A verdict, and which router gave it.
struct quota_decision {
    quota_verdict verdict;
    base::router_name counted_by;  ///< Empty if this router decided by its own share.
};

/// Recent requests of this router to a subject that no ledger has counted, and the age of the
/// limit.
struct limit_evidence {
    double uncounted = 0;        ///< Cost of these requests.
    base::duration limit_age{};  ///< Time since this router learned the limit.
};

struct quota_counters {
    std::uint64_t asks_decided = 0;       ///< As home, for other routers and for this one.
    std::uint64_t own_share_decided = 0;  ///< By this router's own share, as no home answered.
};

/// Not thread-safe: used from the event loop's thread only. Must outlive the requests that it
/// counts; the scheduler must outlive it.
class quota_service {
  public:
    quota_service(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                  quota_settings settings = {});

    /// Replaces the list of routers that are present. This router is added if it is missing.
    void set_routers(std::vector<base::router_name> present,
                     coordination::quota::router_regions regions = {});
    /// @param expected number of routers that each limit is divided by when no home answers; at
    /// least 1.
    void expect_routers(std::size_t expected);

    /// Counts `amount` against the subject's limit, at its home or, if that doesn't answer in
    /// `max_attempts` attempts, against this router's own share. @param limit above 0.
    /// @param region of the subject; empty if it lies in none.
    runtime::task<quota_decision> count(quota_subject subject, rate_limit limit, double amount,
                                        limit_evidence evidence = {},
                                        base::region_name region = {});
    /// Decides as the subject's home. @param asker the router that asks.
    quota_verdict decide_for(const base::router_name& asker, const quota_ask& question);

    const quota_counters& counters() const { return m_counters; }
    /// @return the asks to other routers.
    const home_counters& asks() const { return m_homes.counters(); }
    /// @return number of subjects that this router counts as home.
    std::size_t counted_subjects() const { return m_ledger.size(); }

  private:
    /// Number of routers that ask a subject's home, as reported by the home.
    struct reported_askers {
        std::uint32_t count = 0;
        base::monotonic_time reported_at{};
    };

    std::uint32_t known_askers(const quota_subject& subject) const;
    void record_askers(const quota_subject& subject, std::uint32_t count);
    /// Decides by this router's own share.
    quota_verdict decide_locally(const quota_ask& question);
    /// Removes subjects that haven't been asked about for long, once per `reclaim_period`.
    void reclaim();

    runtime::scheduler& m_scheduler;
    quota_settings m_settings;
    home_client m_homes;
    coordination::quota::quota_ledger m_ledger;
    coordination::quota::equal_shares m_own_shares;
    std::unordered_map<quota_subject, reported_askers, coordination::quota::quota_subject_hash>
        m_reported_askers;
    std::size_t m_expected_routers = 1;
    base::monotonic_time m_reclaimed_at{};
    quota_counters m_counters;
};

}  // namespace ferryroad::quotas
