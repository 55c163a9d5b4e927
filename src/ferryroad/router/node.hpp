/// @file
/// One router, composed of its services on abstract ports: the daemon gives it sockets and
/// real time, the simulator simulated ones.
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

/// Who a router is.
struct node_identity {
    base::router_name name;
    base::incarnation process;
    base::zone_name zone;
    base::region_name region;
    base::endpoint peer_address;  ///< As other routers reach it.
};

struct node_options {
    std::vector<base::endpoint> seeds;
    std::string policy = "cost";
};

/// What a router stands on. Everything outlives it.
struct node_ports {
    runtime::scheduler& scheduler;
    engine::client& engines;
    platform::table& table;
    platform::object_store& objects;
    platform::machine_list& machines;
    peer::transport& peers;
};

/// Used from the event loop's thread. Lives until the event loop has ended.
class node {
  public:
    node(node_identity identity, const node_options& options, const node_ports& ports);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts every service; returns at once.
    void start();

    /// First step of a planned stop: unready, leaving in gossip. Requests at work go on.
    void begin_stop();
    /// Second step, once no caller is left: @return when what requests left behind is done, such
    /// as outcomes to record.
    runtime::task<void> drain();
    /// Last step: services end when they next wake up.
    void stop();

    const readiness& ready_state() const;
    request_service& requests();
    /// Tells `observer` of each request's end; it outlives the node.
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
