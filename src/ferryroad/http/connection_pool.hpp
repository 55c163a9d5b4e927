/// @file
/// Pool of a client's idle connections. Internal to this folder.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/http/connection.hpp"
#include "ferryroad/runtime/boot_clock.hpp"

#include <list>
#include <map>

namespace ferryroad::http {

/// Idle connections by address. Holds only connections whose last response was read completely.
class connection_pool : public std::enable_shared_from_this<connection_pool> {
  public:
    connection_pool(runtime::scheduler& scheduler, client_limits limits);

    /// @return the most recently used idle connection that still appears to be open, or null.
    std::shared_ptr<connection> take(const base::endpoint& address);
    /// @return whether `take` is likely to return a connection.
    bool has_idle_connection(const base::endpoint& address) const;
    /// @return a new connection, not connected yet.
    std::shared_ptr<connection> make();
    /// Keeps `link` for another request, or closes it if it can't be reused.
    /// @param announced_idle_timeout idle timeout that the server announced, if any.
    void put_back(const base::endpoint& address, std::shared_ptr<connection> link,
                  std::optional<base::duration> announced_idle_timeout = std::nullopt);

    const client_limits& limits() const { return limits_; }
    runtime::scheduler& scheduler() { return scheduler_; }

  private:
    struct idle_connection {
        std::shared_ptr<connection> link;
        base::monotonic_time until;  ///< Time at which it is closed.
    };
    using idle_list = std::list<idle_connection>;  ///< Oldest first.

    /// Schedules `close_expired` unless it is already scheduled.
    void start_sweeping();
    void close_expired();

    runtime::scheduler& scheduler_;
    client_limits limits_;
    std::map<base::endpoint, idle_list> idle_;
    runtime::boot_timer sweep_timer_;
    bool sweeping_ = false;
};

}  // namespace ferryroad::http
