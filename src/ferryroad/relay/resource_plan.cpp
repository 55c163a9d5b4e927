#include "ferryroad/relay/resource_plan.hpp"

#include "ferryroad/http/server.hpp"
#include "ferryroad/peer/transport.hpp"

#include <algorithm>
#include <memory>

namespace ferryroad::relay {

namespace {

constexpr double message_memory_share = 3.0 / 8;
constexpr std::size_t peer_memory_divisor = 8;
/// Twice as many descriptors as callers have connections are left for engines and routers.
constexpr std::size_t caller_connection_divisor = 3;
/// Memory of a caller's connection with a request in progress, the engine's included, apart from
/// the bodies of the request and its answer.
constexpr std::size_t connection_bytes = std::size_t{40} * 1024;
constexpr std::size_t connection_memory_divisor = 4;
constexpr std::size_t forwarding_connection_divisor = 16;
constexpr std::size_t peer_connection_divisor = 4;
constexpr std::size_t readiness_connections = 16;
constexpr std::size_t metrics_connections = 8;
constexpr std::size_t min_connections = 8;

std::size_t part_of(std::size_t connections, std::size_t divisor) {
    return std::max(min_connections, connections / divisor);
}

}  // namespace

resource_plan plan_resources(const runtime::process_limits& limits) {
    resource_plan plan;
    plan.messages.total_bytes =
        static_cast<std::size_t>(static_cast<double>(limits.memory_bytes) * message_memory_share);
    // Room for the largest call, whatever the machine.
    plan.peer_calls.total_bytes =
        std::max(limits.memory_bytes / peer_memory_divisor, peer::max_call_bytes);
    plan.peer_calls.small_share = 0;
    plan.caller_connections =
        std::min(part_of(limits.file_descriptors, caller_connection_divisor),
                 part_of(limits.memory_bytes / connection_bytes, connection_memory_divisor));
    plan.forwarding_connections = part_of(limits.file_descriptors, forwarding_connection_divisor);
    plan.peer_connections = part_of(limits.file_descriptors, peer_connection_divisor);
    plan.readiness_connections = readiness_connections;
    plan.metrics_connections = metrics_connections;
    return plan;
}

std::size_t largest_request(const resource_plan& plan) {
    const double share = http::request_memory_share * (1 - plan.messages.small_share);
    return static_cast<std::size_t>(static_cast<double>(plan.messages.total_bytes) * share);
}

peer::transport_limits peer_limits_for(const resource_plan& plan) {
    peer::transport_limits limits;
    limits.incoming_connections = plan.peer_connections;
    limits.memory = std::make_shared<runtime::memory_budget>(plan.peer_calls);
    return limits;
}

}  // namespace ferryroad::relay
