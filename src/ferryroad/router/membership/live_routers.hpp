/// @file
/// Which routers are live, as this one sees it, and which of them keeps what.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace ferryroad::router::membership {

enum class router_state { alive, suspect, leaving, dead };

struct router_info {
    base::router_name name;
    base::endpoint address;
    base::zone_name zone;
    base::region_name region;
    base::incarnation process;  ///< Rises with each start; a refuted suspicion leaves it.
    router_state state{};
};

/// Who keeps a key, and who does if that one goes.
struct key_owners {
    router_info owner;
    std::optional<router_info> standby;
};

/// Used from the event loop's thread.
class live_routers {
  public:
    virtual ~live_routers() = default;
    /// @return routers that take roles: alive or merely suspected, this one included unless it
    /// is leaving. In no particular order.
    virtual std::vector<router_info> live() const = 0;
    /// @return every router heard of and not yet forgotten, this one first.
    virtual std::vector<router_info> known() const = 0;
    /// Rendezvous hashing over `live()`: routers with equal views agree.
    /// @return nothing where no router is live.
    virtual std::optional<key_owners> owners_of(std::uint64_t key) const = 0;
    /// @return whether this router is the owner of `key`.
    virtual bool owned_here(std::uint64_t key) const = 0;
    /// Calls `listener` after each change of `known()`, for as long as this object stands.
    virtual void on_change(std::function<void()> listener) = 0;
};

}  // namespace ferryroad::router::membership
