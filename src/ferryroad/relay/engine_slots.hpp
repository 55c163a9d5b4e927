/// @file
/// Slots of engines that crash if they reject too many requests. Each request to such an engine
/// needs a slot, which the router that counts for the engine grants to whichever router asks.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/admission/slot_shares.hpp"
#include "ferryroad/quotas/slot_service.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/runtime/scheduler.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

struct engine_slot_settings {
    /// Time until a request asks again for a slot that this router's own share refused.
    base::duration own_share_retry = std::chrono::milliseconds(10);
    /// The same after the router that counts didn't answer.
    base::duration unanswered_retry = std::chrono::milliseconds(50);
};

/// Whether a request may use a slot of an engine.
struct slot_permit {
    bool granted = true;
    /// The router that counted the request; empty if none did.
    base::router_name counted_by;
    bool by_own_share = false;  ///< Decided by this router's own share, as no router counted.
};

/// @return the name of the router that granted the slot, `own share`, or `none` if none was needed;
/// for logs.
std::string grantor_of(const slot_permit& permit);

struct engine_slot_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t own_share = 0;   ///< Of both, decided by this router's own share.
    std::uint64_t rejections = 0;  ///< By engines that limit their rejections.
};

/// The calls to the router that counts; see `quotas::slot_service`.
struct slot_calls {
    std::function<runtime::task<std::optional<quotas::slot_decision>>(
        base::engine_name, quotas::slot_use, base::duration wait)>
        acquire;
    std::function<runtime::task<bool>(base::engine_name, quotas::slot_use)> report;
};

/// Not thread-safe: used from the event loop's thread only. The registry and the scheduler must
/// outlive it, and it must outlive the event loop's coroutines.
class engine_slots {
  public:
    engine_slots(runtime::scheduler& scheduler, engine_registry& registry, base::router_name self,
                 slot_calls calls, engine_slot_settings settings = {});

    /// Sets the routers that share the slots where no router counts them, and reports all slots in
    /// use, as other routers may count them now.
    void set_routers(std::vector<base::router_name> present);
    /// Asks for a slot of an engine. If there is none, the engine is not selected for a while.
    /// @param wait how long the request waits for a slot to become free.
    runtime::task<slot_permit> acquire(base::engine_name name, base::duration wait);
    /// Reports that a request has left an engine.
    void released(const base::engine_name& name);
    /// Records that an engine rejected a request for lack of room.
    void rejected(known_engine& engine);
    /// Reports the slots in use at all engines that limit their rejections.
    void report_all();
    /// Calls `report_all` repeatedly. Runs until cancelled.
    runtime::task<void> run();

    const engine_slot_counters& counters() const { return m_counters; }

  private:
    static constexpr std::string_view component = "relay.slots";

    bool is_counted(const known_engine& engine) const;
    /// @return the slots in use, for a new message.
    quotas::slot_use use_of(const known_engine& engine);
    runtime::task<void> report(base::engine_name name);
    /// Removes rejections that were reported to the router that counts.
    void clear_reported(const base::engine_name& name, const quotas::slot_use& reported);
    /// Decides by this router's own share, as no router counts.
    slot_permit decide_locally(known_engine& engine);
    slot_permit refuse(known_engine& engine, base::duration retry_after);

    runtime::scheduler& m_scheduler;
    engine_registry& m_registry;
    slot_calls m_calls;
    core::admission::slot_shares m_own_shares;
    engine_slot_settings m_settings;
    std::uint64_t m_process;           ///< Identifies this process to the routers that count.
    std::uint64_t m_last_message = 0;  ///< Number of the newest message.
    engine_slot_counters m_counters;
};

}  // namespace ferryroad::relay
