/// @file
/// What routers tell the coordinator of a pool's release, and what it tells them, with their
/// encoding (schema/wire.fbs). In datagrams of their own; counts are absolute, so that one that
/// is lost, doubled or late does no harm.
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

/// A router's state and counts under an order. Routes that don't fit are told in another report.
struct release_report {
    base::router_name sender;
    base::incarnation sender_incarnation;  ///< Counts of an ended process stay beside this one's.
    base::pool_name pool;
    coordination::release::order_number order;
    std::optional<coordination::release::release_phase> phase;  ///< That it was told last.
    bool saw_bad = false;                                       ///< Its own counts show it.
    std::uint32_t unrepeatable = 0;  ///< Requests it runs at replaced engines.
    core::canary::counts_by_route counts;
    std::uint64_t number = 0;  ///< Of the sender's reports, from 1; those of one moment share it.

    friend bool operator==(const release_report&, const release_report&) = default;
};

/// The answer to a report, and what is told to all at once.
struct release_notice {
    base::router_name sender;
    base::pool_name pool;
    coordination::release::order_number order;
    /// Of that pool and order; nothing while the sender doesn't know the record.
    std::optional<coordination::release::phase_notice> told;
    /// The end is recorded and told to operators: no further report is needed.
    bool done = false;
    std::uint64_t answers = 0;  ///< The number of the report; 0: it is told without one.

    friend bool operator==(const release_notice&, const release_notice&) = default;
};

/// Routes of a report that surely fit into a datagram.
inline constexpr std::size_t routes_of_release_report = 3;

/// Thread-safe, as all here.
message_bytes encode(const release_report& report);
message_bytes encode(const release_notice& notice);
/// @return whether the datagram says that it is one of these; it may still be malformed.
bool is_release_report(std::string_view bytes);
bool is_release_notice(std::string_view bytes);
/// @return the message, or `malformed`.
result<release_report> decode_release_report(std::string_view bytes);
result<release_notice> decode_release_notice(std::string_view bytes);

}  // namespace ferryroad::peer
