/// @file
/// The routers that this router considers live, and which of them own which keys.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace ferryroad::router::membership {

enum class router_state { alive, suspect, leaving, dead };

/// One router as known to this one.
struct router_info {
    base::router_name name;
    base::endpoint address;
    base::zone_name zone;
    base::region_name region;
    base::incarnation process;  ///< Higher with each start; unchanged when a suspicion is refuted.
    router_state state{};
};

/// The router that owns a key, and the one that takes over if the owner fails.
struct key_owners {
    router_info owner;
    std::optional<router_info> standby;
};

/// Not thread-safe: used from the event loop's thread only.
class live_routers {
  public:
    virtual ~live_routers() = default;
    /// @return the routers that may own keys, in no particular order: those that are alive or only
    /// suspected. Includes this router unless it is leaving.
    virtual std::vector<router_info> live() const = 0;
    /// @return all routers in the membership list, whatever their state; this one first.
    virtual std::vector<router_info> known() const = 0;
    /// Determines the owners by rendezvous hashing over `live()`, so that routers with equal lists
    /// agree. @return nothing if no router is live.
    virtual std::optional<key_owners> owners_of(std::uint64_t key) const = 0;
    /// @return whether this router is the owner of `key`.
    virtual bool owned_here(std::uint64_t key) const = 0;
    /// Calls `listener` after each change of `known()`, as long as this object exists.
    virtual void on_change(std::function<void()> listener) = 0;
};

}  // namespace ferryroad::router::membership
