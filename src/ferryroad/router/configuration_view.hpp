/// @file
/// The configuration in force at this router.
#pragma once

#include "ferryroad/catalog/types.hpp"

#include <memory>

namespace ferryroad::router {

/// Read side of the configuration service. Used from the event loop's thread.
class configuration_view {
  public:
    virtual ~configuration_view() = default;
    /// @return the newest revision known here; never null, revision 0 before the first. A
    /// request keeps the one it began with.
    virtual std::shared_ptr<const catalog::catalog> current() const = 0;
    /// @return false where neither the table nor any peer confirmed the revision lately, or
    /// none is known yet: the router must turn unready.
    virtual bool confirmed() const = 0;
};

}  // namespace ferryroad::router
