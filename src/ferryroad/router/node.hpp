/// @file
/// One router, composed of its services on abstract ports. The daemon supplies real sockets and
/// clocks, the simulator simulated ones.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/client.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/platform/services.hpp"
#include "ferryroad/router/configuration/control.hpp"
#include "ferryroad/router/engine_selector.hpp"
#include "ferryroad/router/readiness.hpp"
#include "ferryroad/router/request/request_observer.hpp"
#include "ferryroad/router/request_types.hpp"
#include "ferryroad/router/status_source.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ferryroad::router {

/// Identity of a router.
struct node_identity {
    base::router_name name;
    base::incarnation process;
    base::zone_name zone;
    base::region_name region;
    base::endpoint peer_address;  ///< The address at which other routers reach it.
};

struct node_options {
    std::vector<base::endpoint> seeds;  ///< Routers to join the group through.
    std::string policy = "cost";        ///< Name of the routing policy.
};

/// Dependencies of a router; all of them must outlive it.
struct node_ports {
    runtime::scheduler& scheduler;
    engine::client& engines;
    platform::table& table;
    platform::object_store& objects;
    platform::machine_list& machines;
    peer::transport& peers;
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended.
class node {
  public:
    node(node_identity identity, const node_options& options, const node_ports& ports);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts all services and returns immediately.
    void start();

    /// First step of a planned stop: the router becomes unready and announces by gossip that it is
    /// leaving. Requests in progress continue.
    void begin_stop();
    /// Second step, when no callers are left: waits for the work that requests left behind, such as
    /// outcomes that are still being recorded.
    runtime::task<void> drain();
    /// Last step: ends the services' coroutines the next time that each of them resumes.
    void stop();

    const readiness& ready_state() const;
    request_service& requests();
    /// Notifies `observer` of the end of each request. The observer must outlive the node.
    void observe_requests(request_observer& observer);
    configuration_view& configuration();
    configuration_control& control();
    engine_selector& selector();
    status_source& status();

  private:
    struct services;
    std::unique_ptr<services> services_;
};

}  // namespace ferryroad::router
