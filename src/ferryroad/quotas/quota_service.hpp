/// @file
/// Counts requests against limits that hold over all routers together: asks the router that
/// counts for a tenant, and counts for others those tenants that are this router's.
#pragma once

#include "ferryroad/coordination/quota/equal_shares.hpp"
#include "ferryroad/coordination/quota/quota_homes.hpp"
#include "ferryroad/coordination/quota/quota_ledger.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::quotas {

using coordination::quota::quota_ask;
using coordination::quota::quota_verdict;
using coordination::quota::rate_limit;

struct quota_settings {
    /// Asks for one request; then this router's own equal part of the limit decides.
    std::size_t asks = 2;
    /// Between two looks for tenants that need not be remembered.
    base::duration reclaim_period = std::chrono::seconds(10);
};

/// What was decided, with what is needed to explain it.
struct quota_decision {
    quota_verdict verdict;
    base::router_name counted_by;  ///< Empty: by this router's own part, as no other answered.
};

struct quota_counters {
    std::uint64_t asks_sent = 0;
    std::uint64_t asks_unanswered = 0;
    std::uint64_t asks_decided = 0;  ///< For other routers and for this one.
    std::uint64_t own_part_decided = 0;
};

/// Asks another router. @return nothing where it doesn't answer within a small part of what
/// callers wait.
using ask_router =
    std::function<runtime::task<std::optional<quota_verdict>>(base::router_name, quota_ask)>;

/// Used from the event loop's thread; outlives its requests.
class quota_service {
  public:
    quota_service(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                  quota_settings settings = {});

    /// Takes the routers that are present, this one among them or not.
    void set_routers(std::vector<base::router_name> present);
    /// @param expected routers that share limits where none answers, at least 1.
    void expect_routers(std::size_t expected);

    /// Counts a request. @param limit above 0. @return after `asks` asks at the latest.
    runtime::task<quota_decision> count(base::tenant_name tenant, rate_limit limit, double amount);
    /// Counts for another router.
    quota_verdict decide_for(const base::router_name& asker, const quota_ask& question);

    const quota_counters& counters() const { return m_counters; }
    /// @return tenants for whom this router counts.
    std::size_t counted_tenants() const { return m_ledger.size(); }

  private:
    /// What the router that counts for a tenant said last of how many ask it.
    struct told_askers {
        std::uint32_t count = 0;
        base::monotonic_time at{};
    };

    std::uint32_t known_askers(const base::tenant_name& tenant) const;
    void learn_askers(const base::tenant_name& tenant, std::uint32_t count);
    runtime::task<std::optional<quota_verdict>> ask(base::router_name home, quota_ask question);
    quota_verdict decide_alone(const quota_ask& question);
    void reclaim();

    runtime::scheduler& m_scheduler;
    base::router_name m_self;
    ask_router m_ask;
    quota_settings m_settings;
    coordination::quota::quota_homes m_homes;
    coordination::quota::quota_ledger m_ledger;
    coordination::quota::equal_shares m_own_parts;
    std::unordered_map<base::tenant_name, told_askers> m_told_askers;
    std::size_t m_expected_routers = 1;
    base::monotonic_time m_reclaimed_at{};
    quota_counters m_counters;
};

}  // namespace ferryroad::quotas
