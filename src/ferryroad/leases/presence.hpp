/// @file
/// Which routers there are: each keeps a row of its own fresh in the table and looks which rows
/// change. Limits that hold for all routers together are divided by their number.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ferryroad::leases {

struct presence_settings {
    base::duration period = std::chrono::seconds(5);
    /// The same for the first time: routers that start together miss each other at first.
    base::duration first_period = std::chrono::seconds(1);
    /// A row that hasn't changed for so long is that of a router that is gone.
    base::duration lifetime = std::chrono::seconds(16);
    std::uint32_t most_routers = 500;
};

struct present_router {
    base::router_name name;
    std::string note;  ///< What it says of itself.

    friend bool operator==(const present_router&, const present_router&) = default;
};

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
class presence {
  public:
    /// @param told after each look, of all that are present.
    presence(runtime::scheduler& scheduler, platform::table& table, present_router self,
             std::function<void(const std::vector<present_router>&)> told,
             presence_settings settings = {});

    /// Called once.
    void start();
    void stop() { m_stopped = true; }

  private:
    struct seen_row {
        platform::row_version version;
        base::monotonic_time changed_at;
        std::string note;
    };

    runtime::task<void> run();
    runtime::task<void> write_own_row();
    runtime::task<void> look();
    void see(const platform::row& row, base::monotonic_time now);
    std::vector<present_router> present(base::monotonic_time now) const;

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    present_router m_self;
    std::function<void(const std::vector<present_router>&)> m_told;
    presence_settings m_settings;
    std::map<platform::row_key, seen_row> m_rows;
    bool m_stopped = false;
};

}  // namespace ferryroad::leases
