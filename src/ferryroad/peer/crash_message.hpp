/// @file
/// What routers tell each other of engines that ended and of the requests that were in progress
/// there, with its encoding (schema/wire.fbs). In datagrams of their own, and as rows of the
/// product's table; one that is lost, doubled or late does no harm.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/quarantine/crash_suspects.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ferryroad::peer {

/// An engine's end as one router saw it, by its age: clocks of routers differ.
struct told_crash {
    base::engine_name engine;
    base::duration age{};        ///< To the millisecond, as the next.
    base::duration began_age{};  ///< Of the newest exchange with it.
    std::vector<core::quarantine::crash_candidate> candidates;
    std::uint32_t unnamed = 0;

    friend bool operator==(const told_crash&, const told_crash&) = default;
};

struct crash_news {
    base::router_name sender;
    /// Milliseconds of the table owner's clock, from which the ages count; 0: from the arrival.
    std::uint64_t owner_time = 0;
    std::vector<told_crash> crashes;
    std::vector<core::quarantine::request_identity> cleared;

    friend bool operator==(const crash_news&, const crash_news&) = default;
};

/// Candidates of one crash, and cleared requests, that surely fit into a datagram.
inline constexpr std::size_t requests_of_crash_datagram = 32;

/// Thread-safe, as all here.
message_bytes encode(const crash_news& news);
/// @return whether the datagram says that it is one of these; it may still be malformed.
bool is_crash_news(std::string_view bytes);
/// @return the message, or `malformed`.
result<crash_news> decode_crash_news(std::string_view bytes);

}  // namespace ferryroad::peer
