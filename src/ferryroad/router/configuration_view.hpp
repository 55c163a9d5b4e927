/// @file
/// The configuration in force at this router.
#pragma once

#include "ferryroad/catalog/types.hpp"

#include <memory>

namespace ferryroad::router {

/// Read access to the configuration service. Not thread-safe: used from the event loop's thread
/// only.
class configuration_view {
  public:
    virtual ~configuration_view() = default;
    /// @return the newest revision held here; never null, and the empty revision 0 before the first
    /// one is loaded. A request uses the same revision from start to end.
    virtual std::shared_ptr<const catalog::catalog> current() const = 0;
    /// @return whether the table or a peer has recently confirmed that the held revision is the
    /// newest. If not, the router must be unready.
    virtual bool confirmed() const = 0;
};

}  // namespace ferryroad::router
