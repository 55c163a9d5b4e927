/// @file
/// Counts what tenants are granted, for all routers that ask here. Each router that asks brings
/// an equal part of the limit with it: while routers ask different ledgers (they see each other
/// differently, or are cut from each other), each ledger grants only the parts of those that ask
/// it, so that all together stay near the limit without any agreement.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/quota_bucket.hpp"
#include "ferryroad/coordination/quota/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace ferryroad::coordination::quota {

struct ledger_tunables {
    /// A router that asked before is missed once it is silent for so many times its mean pause:
    /// where requests come at random, one in 150 pauses is that long.
    double missed_pauses = 5;
    /// And not before: pauses of busy routers vary.
    base::duration least_missed = std::chrono::seconds(1);
    /// The same, where it asked only once.
    base::duration missed_after_one = std::chrono::seconds(5);
    /// Least weight of the newest pause in the mean; the first ones all weigh the same.
    double pause_weight = 0.1;
    /// How long a silent router's part is kept from the others: a cut lasts longer than a kill.
    base::duration remembered = std::chrono::seconds(60);
    /// How long what other ledgers counted is relied on.
    base::duration told_for = std::chrono::seconds(30);
    /// What a ledger that takes over may grant at once, in seconds at the rate: the one before
    /// may have granted the burst a moment ago.
    double takeover_seconds = 0.1;
    /// So long after its start a process can't know what others granted just before, nor which
    /// routers there are: it grants no burst, and only the parts of those that ask it.
    base::duration young_for = std::chrono::seconds(4);
    /// Those refused come back one after the other within so long of the next grant. A longer
    /// line is longer than will be served, as new requests go on coming: whoever is told to wait
    /// for its end is late and as likely refused again as who comes back at once.
    base::duration longest_line = std::chrono::milliseconds(500);
    /// No caller is told to come back sooner, or much later than a caller waits.
    base::duration shortest_return = std::chrono::milliseconds(50);
    base::duration longest_return = std::chrono::seconds(10);
};

/// Pure: (state, ask, now) to a verdict. Not thread-safe.
class quota_ledger {
  public:
    /// @param started when this process began.
    explicit quota_ledger(base::monotonic_time started, ledger_tunables tunables = {})
        : m_tunables(tunables), m_grown_at(started + tunables.young_for) {}

    const ledger_tunables& tunables() const { return m_tunables; }
    /// @param routers that there are, as far as is known; at least 1.
    void expect_routers(std::size_t routers) { m_routers = routers; }

    /// @param ask with a limit above 0. @return whether the amount was counted and granted.
    quota_verdict decide(const base::router_name& asker, const quota_ask& ask,
                         base::monotonic_time now);
    /// @return tenants counted here.
    std::size_t size() const { return m_accounts.size(); }
    /// Forgets tenants for whom nobody asked for long. Called now and then.
    void reclaim(base::monotonic_time now);

  private:
    struct asker_history {
        base::monotonic_time asked_at{};
        std::uint32_t pauses = 0;
        double mean_pause = 0;  ///< Seconds.
    };
    struct account {
        rate_limit limit;
        quota_bucket bucket;
        std::map<base::router_name, asker_history> askers;
        std::uint32_t told_askers = 0;
        base::monotonic_time told_at{};
        base::monotonic_time next_return{};  ///< Whoever is refused next comes back then.
    };

    account& account_of(const quota_ask& ask, base::monotonic_time now);
    void note_asker(account& of, const base::router_name& asker, base::monotonic_time now) const;
    bool is_missed(const asker_history& one, base::monotonic_time now) const;
    double part_of(account& of, base::monotonic_time now) const;
    base::duration return_in(account& of, const quota_ask& ask, double part,
                             base::monotonic_time now) const;

    ledger_tunables m_tunables;
    base::monotonic_time m_grown_at;
    std::size_t m_routers = 1;
    std::unordered_map<base::tenant_name, account> m_accounts;
};

}  // namespace ferryroad::coordination::quota
