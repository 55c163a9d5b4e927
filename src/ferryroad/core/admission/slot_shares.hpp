/// @file
/// Divides the slots of an engine among routers, so that all routers together never send the engine
/// more requests than it has slots, without asking each other for each request.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::core::admission {

/// The shares of one router. Every router computes the same division from the list of routers. A
/// share depends on the engine and the routers alone: while routers don't know of the same engines
/// yet, no slot belongs to two of them. Not thread-safe.
class slot_shares {
  public:
    /// @param self the router whose shares are computed.
    explicit slot_shares(base::router_name self) : m_self(std::move(self)) {}

    /// Sets the routers that share the slots. `self` is added if it is missing.
    void set_routers(std::vector<base::router_name> present);
    /// @return the number of the engine's slots that belong to the router.
    std::uint32_t share_of(const base::engine_name& engine, std::uint32_t slots) const;

  private:
    base::router_name m_self;
    std::vector<base::router_name> m_others;
};

}  // namespace ferryroad::core::admission
