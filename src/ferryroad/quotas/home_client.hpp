/// @file
/// Asks the home routers of subjects for verdicts. Knows which homes answer.
#pragma once

#include "ferryroad/coordination/quota/quota_homes.hpp"
#include "ferryroad/coordination/quota/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::quotas {

using coordination::quota::quota_ask;
using coordination::quota::quota_subject;
using coordination::quota::quota_verdict;

/// Asks another router for a verdict. @return nothing if it doesn't answer in time; the timeout is
/// a small part of the time that callers wait.
using ask_router =
    std::function<runtime::task<std::optional<quota_verdict>>(base::router_name, quota_ask)>;
/// Called with the second verdict on a queued request.
using later_verdict = std::function<void(const quota_verdict&)>;
/// Decides as the home of a subject. The first argument is the router that asks.
using decide_as_home =
    std::function<quota_verdict(const base::router_name&, const quota_ask&, later_verdict)>;

struct home_counters {
    std::uint64_t asks_sent = 0;
    std::uint64_t asks_unanswered = 0;
};

/// Not thread-safe: used from the event loop's thread only. Must outlive its asks; the scheduler
/// must outlive it.
class home_client {
  public:
    /// @param decide used where this router is the home itself.
    home_client(runtime::scheduler& scheduler, base::router_name self, ask_router ask,
                decide_as_home decide);

    /// Replaces the list of routers that are present. This router is added if it is missing.
    void set_routers(std::vector<base::router_name> present,
                     coordination::quota::router_regions regions = {});
    /// Asks one home. @return the last verdict; nothing if the home doesn't answer.
    runtime::task<std::optional<quota_verdict>> ask(base::router_name home, quota_ask question);

    const coordination::quota::quota_homes& homes() const { return m_homes; }
    const home_counters& counters() const { return m_counters; }

  private:
    runtime::task<quota_verdict> ask_here(quota_ask question);
    void record_answer(const base::router_name& home);
    void record_silence(const base::router_name& home, const std::string& subject);

    runtime::scheduler& m_scheduler;
    base::router_name m_self;
    ask_router m_ask;
    decide_as_home m_decide;
    coordination::quota::quota_homes m_homes;
    home_counters m_counters;
};

}  // namespace ferryroad::quotas
