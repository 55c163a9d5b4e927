/// @file
/// A client's idle connections by address. Internal to this folder.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/http/connection.hpp"
#include "ferryroad/runtime/boot_clock.hpp"

#include <list>
#include <map>

namespace ferryroad::http {

/// Holds connections whose last answer was read whole, and nothing else.
class connection_pool : public std::enable_shared_from_this<connection_pool> {
  public:
    connection_pool(runtime::scheduler& scheduler, client_limits limits);

    /// @return the idle connection used last that still looks alive, or null.
    std::shared_ptr<connection> take(const base::endpoint& address);
    /// @return whether `take` is likely to find one.
    bool keeps(const base::endpoint& address) const;
    /// @return a connection that isn't connected yet.
    std::shared_ptr<connection> make();
    /// Keeps `link` for another request, or closes it where it can't carry one.
    /// @param other_side_keeps how long the other side said that it keeps it idle.
    void put_back(const base::endpoint& address, std::shared_ptr<connection> link,
                  std::optional<base::duration> other_side_keeps = std::nullopt);

    const client_limits& limits() const { return limits_; }
    runtime::scheduler& scheduler() { return scheduler_; }

  private:
    struct idle_connection {
        std::shared_ptr<connection> link;
        base::monotonic_time until;
    };
    using idle_list = std::list<idle_connection>;  ///< Oldest first.

    void start_sweeping();
    void close_expired();

    runtime::scheduler& scheduler_;
    client_limits limits_;
    std::map<base::endpoint, idle_list> idle_;
    runtime::boot_timer sweep_timer_;
    bool sweeping_ = false;
};

}  // namespace ferryroad::http
