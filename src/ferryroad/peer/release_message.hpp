/// @file
/// Messages between routers and the coordinator of a pool's release, with their encoding
/// (schema/wire.fbs). They are sent in datagrams of their own; counts are absolute, so that lost,
/// duplicated or late messages do no harm.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/coordination/release/types.hpp"
#include "ferryroad/core/canary/types.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace ferryroad::peer {

/// State and counts of one router under a release order. Routes that don't fit into one datagram
/// are sent in another report.
struct release_report {
    base::router_name sender;
    base::incarnation sender_incarnation;  ///< Counts are kept per incarnation.
    base::pool_name pool;
    coordination::release::order_number order;
    std::optional<coordination::release::release_phase> phase;  ///< Phase that the router knows.
    bool saw_bad = false;            ///< The router's own counts show that the new version is bad.
    std::uint32_t unrepeatable = 0;  ///< Requests in progress on replaced engines that can't be
                                     ///< retried elsewhere.
    core::canary::counts_by_route counts;
    std::uint64_t number = 0;  ///< Numbers the sender's reports from 1; reports sent together
                               ///< share a number.

    friend bool operator==(const release_report&, const release_report&) = default;
};

/// Sent by the coordinator in response to a report, or unprompted to all routers.
struct release_notice {
    base::router_name sender;
    base::pool_name pool;
    coordination::release::order_number order;
    /// Phase of that pool and order; nothing while the coordinator doesn't know the record.
    std::optional<coordination::release::phase_notice> told;
    /// The outcome is recorded and reported to operators; no further reports are needed.
    bool done = false;
    std::uint64_t answers = 0;  ///< Number of the report it responds to; 0 if unprompted.

    friend bool operator==(const release_notice&, const release_notice&) = default;
};

/// Number of routes in a report that always fits into a datagram.
inline constexpr std::size_t max_routes_per_release_report = 3;

/// All functions of this file are thread-safe.
message_bytes encode(const release_report& report);
message_bytes encode(const release_notice& notice);
/// @return whether the datagram carries the identifier of that message; it may still be malformed.
bool is_release_report(std::string_view bytes);
bool is_release_notice(std::string_view bytes);
/// @return the message, or `malformed`.
result<release_report> decode_release_report(std::string_view bytes);
result<release_notice> decode_release_notice(std::string_view bytes);

}  // namespace ferryroad::peer
