/// @file
/// Asks for slots of engines, which one router, the home, counts for all. Answers for the engines
/// whose home is this router.
#pragma once

#include "ferryroad/coordination/quota/slot_ledger.hpp"
#include "ferryroad/quotas/home_client.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <map>
#include <optional>
#include <vector>

namespace ferryroad::quotas {

using coordination::quota::slot_use;

/// An engine, and the region that it is in; empty if that isn't known.
struct located_engine {
    base::engine_name name;
    base::region_name region;

    friend bool operator==(const located_engine&, const located_engine&) = default;
};

/// Verdict of an engine's home.
struct slot_decision {
    quota_verdict verdict;
    base::router_name counted_by;
};

/// Not thread-safe: used from the event loop's thread only. Must outlive its asks; the scheduler
/// must outlive it.
class slot_service {
  public:
    slot_service(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                 coordination::quota::slot_ledger_tunables tunables = {});

    /// Replaces the list of routers that are present. This router is added if it is missing.
    void set_routers(std::vector<base::router_name> present,
                     coordination::quota::router_regions regions = {});

    /// Asks the engine's home for a slot. No other router decides in its place: two that count for
    /// one engine would grant its slots twice.
    /// @return nothing if the home doesn't answer. The verdict is undecided if it hasn't answered
    /// repeatedly, or doesn't know enough.
    /// @param wait how long the request waits for a slot if none is free.
    runtime::task<std::optional<slot_decision>> acquire(located_engine engine, slot_use use,
                                                        base::duration wait);
    /// Reports the slots that this router uses. @return whether the home answered.
    runtime::task<bool> report(located_engine engine, slot_use use);
    /// Decides as the engine's home. @param question must have `slots`. @param later is called if
    /// the request is queued and gets a slot in time.
    quota_verdict decide_for(const base::router_name& asker, const quota_ask& question,
                             later_verdict later);

    const home_counters& counters() const { return m_homes.counters(); }
    /// @return number of engines that this router counts as home.
    std::size_t counted_engines() const { return m_ledger.size(); }

  private:
    struct queued_ask {
        later_verdict answer;
        base::monotonic_time until;
    };

    runtime::task<std::optional<slot_decision>> ask(quota_ask question, base::region_name region);
    /// Grants free slots of the engine to queued requests.
    void grant_queued(const quota_subject& engine);
    void drop_expired();

    runtime::scheduler& m_scheduler;
    coordination::quota::slot_ledger m_ledger;
    std::map<coordination::quota::slot_ask_id, queued_ask> m_queued;
    base::monotonic_time m_dropped_at{};
    home_client m_homes;
};

}  // namespace ferryroad::quotas
