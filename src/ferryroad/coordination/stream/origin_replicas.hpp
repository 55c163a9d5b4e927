/// @file
/// Chooses the routers that keep replicas of a stream's origin, and those to ask for it. Every
/// router computes them from the stream's key and the list of routers, without communication.
#pragma once

#include "ferryroad/coordination/stream/stream_origin.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::coordination::stream {

/// @return at most `count` of the routers, in the order of their rank for the stream. Routers with
/// different lists agree on the routers that both lists contain.
std::vector<base::router_name> ranked_routers(const stream_key& stream,
                                              const std::vector<base::router_name>& routers,
                                              std::size_t count);

}  // namespace ferryroad::coordination::stream
