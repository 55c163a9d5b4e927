/// @file
/// How a router divides the memory and the file descriptors of its process.
#pragma once

#include "ferryroad/peer/asio_transport.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/process_limits.hpp"

#include <cstddef>

namespace ferryroad::relay {

/// What the parts of a router may use at most.
struct resource_plan {
    /// Messages of callers and of routers whose requests this one passes on, and engines' answers.
    runtime::memory_limits messages;
    /// Calls of other routers.
    runtime::memory_limits peer_calls;
    std::size_t caller_connections = 0;
    std::size_t forwarding_connections = 0;
    std::size_t peer_connections = 0;
    std::size_t readiness_connections = 0;
    std::size_t metrics_connections = 0;

    friend bool operator==(const resource_plan&, const resource_plan&) = default;
};

/// @param limits both must be known. @return the plan. What it leaves is for connections to
/// engines, of which each request in progress takes one, and for the router's own state.
/// Thread-safe.
resource_plan plan_resources(const runtime::process_limits& limits);

/// @return the size of the largest request for which there is ever memory, in bytes. Thread-safe.
std::size_t largest_request(const resource_plan& plan);
/// @return the limits of the transport between routers. Thread-safe.
peer::transport_limits peer_limits_for(const resource_plan& plan);

}  // namespace ferryroad::relay
