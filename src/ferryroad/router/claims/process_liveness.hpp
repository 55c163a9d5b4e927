/// @file
/// Interface through which claims query the membership of routers.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>

namespace ferryroad::router {

/// Tells which router processes have ended. Used from the event loop's thread only.
class process_liveness {
  public:
    virtual ~process_liveness() = default;
    /// @return whether the process is known to have ended, or a later process of the same router
    /// has been seen. A false positive closes idempotency keys with an unknown outcome; it never
    /// lets a request run twice.
    virtual bool known_dead(const base::router_name& router, base::incarnation process) const = 0;
    /// @return the number of routers known to be alive, including this one; at least 1.
    virtual std::size_t live_routers() const = 0;
};

}  // namespace ferryroad::router
