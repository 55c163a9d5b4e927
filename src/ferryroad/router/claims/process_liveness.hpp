/// @file
/// What claims ask of membership.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <cstddef>

namespace ferryroad::router {

/// Which router processes have ended. Used from the event loop's thread.
class process_liveness {
  public:
    virtual ~process_liveness() = default;
    /// @return whether that process has surely ended, or a later one of its name has been
    /// seen. A wrong "yes" closes keys as unknown; it never lets a request run twice.
    virtual bool known_dead(const base::router_name& router, base::incarnation process) const = 0;
    /// @return routers known to be alive, this one included; at least 1.
    virtual std::size_t live_routers() const = 0;
};

}  // namespace ferryroad::router
