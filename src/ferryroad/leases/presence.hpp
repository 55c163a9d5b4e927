/// @file
/// Which routers there are: each keeps a row of its own fresh in the table, and is told which
/// rows change. Limits that hold for all routers together are divided by their number.
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
    /// Between two writes of the own row, where there are few routers.
    base::duration least_period = std::chrono::seconds(10);
    /// All routers together write no more often than once in this time, as every change passes
    /// through every router: some 100 bytes each, of the 4 KB a second that a router may spend
    /// on control.
    base::duration period_per_router = std::chrono::milliseconds(250);
    /// A row that hasn't changed for so many periods is that of a router that is gone.
    double lifetime_periods = 3.2;
    /// The first write is tried again after so long where it wasn't taken, twice as long each time:
    /// of many routers that start together, the table takes some at once. Until it is taken nobody
    /// knows of this router; a later one is made good by the next.
    base::duration first_retry = std::chrono::milliseconds(300);
};

struct present_router {
    base::router_name name;
    std::string note;  ///< What it says of itself.

    friend bool operator==(const present_router&, const present_router&) = default;
};

/// Keys of the rows begin with this.
inline constexpr std::string_view presence_key_prefix = "routers/";

/// @return the router that a row is of; nothing where it is none's. Thread-safe.
std::optional<present_router> decode_presence(std::string_view key, const std::string& value);

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
class presence {
  public:
    /// @param told after each `look`, of all that are present.
    presence(runtime::scheduler& scheduler, platform::table& table, present_router self,
             std::function<void(const std::vector<present_router>&)> told,
             presence_settings settings = {});

    /// Called once.
    void start();
    void stop() { m_stopped = true; }

    /// A router's row, as the table has it now; removed where `version` is 0. A router whose own
    /// row was removed writes it again: others took it for gone.
    void see(const platform::row& row);
    /// The router is gone: its row goes, unless it has written it again since.
    void remove_gone(const base::router_name& name);
    /// Tells who is present, from the rows seen; called after each reading of the table.
    void look();
    /// @return whether the table has taken this router's row.
    bool is_listed() const { return m_listed; }
    /// @return time between two writes of the own row, but for a jitter.
    base::duration period() const;

  private:
    struct seen_row {
        platform::row_version version;
        base::monotonic_time changed_at;
        std::string note;
    };

    runtime::task<void> run();
    /// @return whether it was taken.
    runtime::task<bool> write_own_row();
    runtime::task<void> write_again();
    runtime::task<void> remove(platform::row_key key, platform::row_version version);
    runtime::task<void> pause(base::duration length);
    std::vector<present_router> present(base::monotonic_time now) const;

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    present_router m_self;
    std::function<void(const std::vector<present_router>&)> m_told;
    presence_settings m_settings;
    std::map<platform::row_key, seen_row> m_rows;
    std::size_t m_present = 1;  ///< As told last.
    bool m_listed = false;
    bool m_stopped = false;
};

}  // namespace ferryroad::leases
