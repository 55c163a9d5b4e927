/// @file
/// Request limits that engines state in their answers. A limit holds for all routers together, for
/// as long as the engine states it. Each request to such an engine needs a permit, which the router
/// that counts for the engine grants.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/quota/retry_queue.hpp"
#include "ferryroad/peer/traffic_notice.hpp"
#include "ferryroad/quotas/quota_service.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/types.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::relay {

struct engine_limit_settings {
    /// Rate in requests per second at which an engine is tried even if its limit is lower. Without
    /// it, an engine that once stated 0 would get no request whose answer could end the limit.
    double least_rate = 0.1;
    /// Limits of this many requests per second or more are not enforced: no engine gets as many.
    double unenforced_rate = 10'000;
    /// What an engine may get at once after a pause, in seconds at its limit.
    double burst_seconds = 0.5;
    /// Requests sent within this time before their router learned the limit count against it.
    base::duration counted_before = std::chrono::seconds(1);
    /// Longest time without a request to an engine after a router's own share refused one. The
    /// router that counts may answer again sooner than the share allows the next request.
    base::duration longest_pause_by_own_share = std::chrono::seconds(1);
    /// Longest queue of refused requests that are to retry one after the other.
    base::duration longest_retry_queue = std::chrono::milliseconds(500);
    /// Relative change of a limit from which on it is announced to other routers.
    double announced_change = 0.1;
};

/// Whether a request may be sent to an engine.
struct send_permit {
    bool granted = true;
    /// Limit that the permit was granted under; nothing if the engine had none.
    std::optional<double> per_second;
    /// The router that counted the request; empty if none did.
    base::router_name counted_by;
};

struct engine_limit_counters {
    std::uint64_t changes = 0;    ///< Limits that began, changed or ended.
    std::uint64_t granted = 0;    ///< Requests to engines with a limit.
    std::uint64_t refused = 0;    ///< Requests that were not sent to an engine due to its limit.
    std::uint64_t own_share = 0;  ///< Of both, decided by this router's own share.
};

/// Counts a request to an engine over all routers.
using engine_request_counter = std::function<runtime::task<quotas::quota_decision>(
    base::engine_name, quotas::rate_limit, quotas::limit_evidence)>;
/// Sends a limit that this router learned from an engine to the other routers.
using limit_announcer = std::function<void(const peer::stated_engine_limit&)>;

/// Not thread-safe: used from the event loop's thread only. The registry and the scheduler must
/// outlive it, and it must outlive the requests that it counts.
class engine_limits {
  public:
    engine_limits(runtime::scheduler& scheduler, engine_registry& registry,
                  engine_request_counter count, limit_announcer announce,
                  engine_limit_settings settings = {});

    /// @param routers number of routers that share each limit, at least 1.
    void expect_routers(std::size_t routers) { m_routers = routers; }

    /// Records what the head of an answer states. @param engine the process that answered.
    void record_answer(known_engine& engine, const stated_limit& stated);
    /// Records what another router learned. @param from that router.
    void record_announcement(const peer::stated_engine_limit& told, const base::router_name& from);
    /// Records that a request is sent to an engine.
    void record_sent(known_engine& engine, const send_permit& permit);

    /// Asks whether a request may be sent to an engine now. If not, the engine is not selected for
    /// a while.
    /// @param request for logs.
    runtime::task<send_permit> acquire(base::engine_name name, base::request_id request);
    /// @return whether the engine has a limit that `permit` was not granted under.
    bool lacks_permit(const known_engine& engine, const send_permit& permit) const {
        return is_enforced(engine.limit) && !permit.per_second;
    }
    /// @return when a request that found no engine in the pool may retry, if some engine of the
    /// pool is not selected due to its limit. Each call returns another time, so that callers don't
    /// return together.
    std::optional<base::duration> retry_after(const base::pool_name& pool);

    /// @return the number of engines that state a limit.
    std::size_t limited() const;
    const engine_limit_counters& counters() const { return m_counters; }

  private:
    static constexpr std::string_view component = "relay.limits";

    bool is_enforced(const engine_limit& limit) const;
    quotas::rate_limit rate_limit_of(const engine_limit& limit) const;
    void set_limit(known_engine& engine, const engine_limit& limit, std::string_view source);
    void remove_old_sends(known_engine& engine, base::monotonic_time now) const;
    /// Delays the next request to an engine that may get none now.
    void pause(known_engine& engine, const quotas::quota_decision& decision) const;
    void count(const quotas::quota_decision& decision);
    void log_refusal(const base::request_id& request, const known_engine& engine,
                     const quotas::quota_decision& decision,
                     const quotas::limit_evidence& evidence) const;

    runtime::scheduler& m_scheduler;
    engine_registry& m_registry;
    engine_request_counter m_count;
    limit_announcer m_announce;
    engine_limit_settings m_settings;
    std::size_t m_routers = 1;
    std::map<base::pool_name, coordination::quota::retry_queue> m_retries;
    engine_limit_counters m_counters;
};

/// @return the limit in requests per second for logs, `none` if there is none. Thread-safe.
std::string to_string(const engine_limit& limit);

}  // namespace ferryroad::relay
