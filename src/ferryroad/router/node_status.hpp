/// @file
/// Status of this router, the other routers and the engines, for operators.
#pragma once

#include "ferryroad/router/backends/backend_directory.hpp"
#include "ferryroad/router/configuration_view.hpp"
#include "ferryroad/router/membership/live_routers.hpp"
#include "ferryroad/router/node.hpp"
#include "ferryroad/router/readiness.hpp"
#include "ferryroad/router/status_source.hpp"

namespace ferryroad::router {

/// All constructor arguments must outlive it.
class node_status final : public status_source {
  public:
    node_status(const node_identity& identity, const readiness& ready,
                const configuration_view& configuration,
                const backends::backend_directory& directory,
                const membership::live_routers& routers)
        : identity_(identity),
          ready_(ready),
          configuration_(configuration),
          directory_(directory),
          routers_(routers) {}

    system_status status() const override;

  private:
    router_status own_status() const;

    const node_identity& identity_;
    const readiness& ready_;
    const configuration_view& configuration_;
    const backends::backend_directory& directory_;
    const membership::live_routers& routers_;
};

}  // namespace ferryroad::router
