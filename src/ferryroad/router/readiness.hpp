/// @file
/// Whether this router accepts new requests.
#pragma once

#include "ferryroad/router/configuration_view.hpp"

namespace ferryroad::router {

/// A router is ready while its configuration is confirmed and no planned stop has begun. Not
/// thread-safe: used from the event loop's thread only. The view must outlive it.
class readiness {
  public:
    explicit readiness(const configuration_view& configuration) : configuration_(configuration) {}

    bool ready() const { return !stopping_ && configuration_.confirmed(); }
    bool stopping() const { return stopping_; }
    void begin_stop() { stopping_ = true; }

  private:
    const configuration_view& configuration_;
    bool stopping_ = false;
};

}  // namespace ferryroad::router
