/// @file
/// How many routers there are: each keeps a row of its own fresh in the table and counts the
/// rows that change. Limits that hold for all routers together are divided by it.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <map>

namespace ferryroad::leases {

struct presence_settings {
    base::duration period = std::chrono::seconds(5);
    /// A row that hasn't changed for so long is that of a router that is gone.
    base::duration lifetime = std::chrono::seconds(16);
    std::uint32_t most_routers = 500;
};

/// Used from the event loop's thread; kept until the loop has ended. Collaborators outlive it.
class presence {
  public:
    /// @param counted told after each count.
    presence(runtime::scheduler& scheduler, platform::table& table, const base::router_name& self,
             std::function<void(std::size_t)> counted, presence_settings settings = {});

    /// Called once.
    void start();
    void stop() { m_stopped = true; }

  private:
    struct seen_row {
        platform::row_version version;
        base::monotonic_time changed_at;
    };

    runtime::task<void> run();
    runtime::task<void> write_own_row();
    runtime::task<void> count_rows();

    runtime::scheduler& m_scheduler;
    platform::table& m_table;
    platform::row_key m_own_key;
    std::function<void(std::size_t)> m_counted;
    presence_settings m_settings;
    std::map<platform::row_key, seen_row> m_rows;
    bool m_stopped = false;
};

}  // namespace ferryroad::leases
