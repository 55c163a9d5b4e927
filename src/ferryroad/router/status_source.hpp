/// @file
/// Status of the routers and engines as known to this router, for operators.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"

#include <vector>

namespace ferryroad::router {

/// State of a router or an engine as known to this router.
enum class member_health { alive, suspect, dead, leaving, drained };

struct router_status {
    base::router_name name;
    base::endpoint address;
    base::zone_name zone;
    member_health health{};
    base::revision revision;
    base::incarnation incarnation;
};

struct engine_status {
    base::engine_name name;
    base::endpoint address;
    base::pool_name pool;
    base::zone_name zone;
    member_health health{};
    engine::load_report load;
};

struct system_status {
    base::router_name self;
    bool ready = false;
    std::vector<router_status> routers;
    std::vector<engine_status> engines;
};

/// Not thread-safe: used from the event loop's thread only.
class status_source {
  public:
    virtual ~status_source() = default;
    virtual system_status status() const = 0;
};

}  // namespace ferryroad::router
