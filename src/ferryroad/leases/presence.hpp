/// @file
/// Heartbeats of the routers in the platform's table: each router rewrites its own row
/// periodically and watches the rows of the others, so that it knows which routers are alive.
/// Limits that apply to all routers together are divided by their number.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::leases {

struct presence_settings {
    /// Period of the heartbeat while there are few routers.
    base::duration min_period = std::chrono::seconds(10);
    /// With more routers, the heartbeat period is this times their number. All routers together
    /// then write one row per 250 ms. Every write is sent to every router at about 100 bytes, and a
    /// router may spend 4 KB per second on control traffic.
    base::duration period_per_router = std::chrono::milliseconds(250);
    /// A router whose row hasn't changed for this many periods is no longer counted as present.
    double lifetime_periods = 3.2;
    /// Delay before the first write is retried if it failed; doubles with each failure up to the
    /// period. When many routers start together, the table rejects some of their writes, and a
    /// router is unknown to the others until its first write succeeds. A later write that fails
    /// is not retried: the next heartbeat replaces it.
    base::duration first_retry = std::chrono::milliseconds(300);
};

/// A router and its self-description.
struct present_router {
    base::router_name name;
    std::string note;  ///< Free text that the router publishes about itself.

    friend bool operator==(const present_router&, const present_router&) = default;
};

/// Prefix of the heartbeat rows' keys; the router's name follows.
inline constexpr std::string_view presence_key_prefix = "routers/";

/// @return the router that a heartbeat row describes; nothing if the key is not that of a
/// heartbeat row. Thread-safe.
std::optional<present_router> decode_presence(std::string_view key, const std::string& value);

/// Publishes the heartbeat of this router and tracks those of the others. Not thread-safe: used
/// from the event loop's thread only. Must exist until the event loop has ended. The scheduler and
/// the table must outlive it.
class presence {
  public:
    /// @param on_present called by each `report_present_routers` with all routers that are present,
    /// this one first.
    presence(runtime::scheduler& scheduler, platform::table& table, present_router self,
             std::function<void(const std::vector<present_router>&)> on_present,
             presence_settings settings = {});

    /// Starts the heartbeat. Call it once.
    void start();
    /// Ends the heartbeat; the row stays until the others remove it.
    void stop() { m_stopped = true; }

    /// Takes the current state of a heartbeat row; `version` 0 means that the row was removed. If
    /// this router's own row was removed, because another router declared it dead, it is written
    /// again.
    void update_row(const platform::row& row);
    /// Deletes the row of a router that has ended, unless the router has rewritten the row in the
    /// meantime.
    void remove_router_row(const base::router_name& name);
    /// Reports the routers that are present according to the rows seen so far. Call it after each
    /// read of the table.
    void report_present_routers();
    /// @return whether the first write of this router's row has succeeded.
    bool is_listed() const { return m_listed; }
    /// @return the period of the heartbeat, without jitter.
    base::duration period() const;

  private:
    /// A row as last received, and when its version last changed.
    struct seen_row {
        platform::row_version version;
        base::monotonic_time changed_at;
        std::string note;
    };

    runtime::task<void> run();
    /// @return whether the write succeeded.
    runtime::task<bool> write_own_row();
    runtime::task<void> restore_own_row();
    runtime::task<void> remove(platform::row_key key, platform::row_version version);
    runtime::task<void> pause(base::duration length);
    std::vector<present_router> present(base::monotonic_time now) const;

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    present_router m_self;
    std::function<void(const std::vector<present_router>&)> m_on_present;
    presence_settings m_settings;
    std::map<platform::row_key, seen_row> m_rows;
    std::size_t m_present_count = 1;  ///< As of the last `report_present_routers`.
    bool m_listed = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::leases
