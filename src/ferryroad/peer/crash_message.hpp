/// @file
/// Message about crashed engines and the requests that were in progress there, with its encoding
/// (schema/wire.fbs). It is sent in datagrams of its own and stored as rows of the product's table;
/// lost, duplicated or late messages do no harm.
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

/// A crash of an engine as observed by one router. Times are sent as ages because the clocks of
/// routers differ.
struct observed_crash {
    base::engine_name engine;
    base::duration age{};  ///< Since the crash; millisecond precision on the wire.
    base::duration
        began_age{};  ///< Since the newest exchange with the engine began; same precision.
    std::vector<core::quarantine::crash_candidate> candidates;
    std::uint32_t unnamed = 0;  ///< Further requests in progress that `candidates` omits.

    friend bool operator==(const observed_crash&, const observed_crash&) = default;
};

/// Crashes observed by the sender, and requests and prompt parts cleared of suspicion.
struct crash_notice {
    base::router_name sender;
    /// Table owner's clock in milliseconds when the message was written; ages are relative to it. 0
    /// means that ages are relative to the arrival of the message.
    std::uint64_t owner_time = 0;
    std::vector<observed_crash> crashes;
    core::quarantine::cleared_suspects cleared;  ///< An engine survived them.

    friend bool operator==(const crash_notice&, const crash_notice&) = default;
};

/// Number of candidates of one crash, or of cleared requests, that always fits into a datagram.
inline constexpr std::size_t max_requests_per_crash_datagram = 32;
/// Number of distinct prompt parts of these candidates that fits, too.
inline constexpr std::size_t max_parts_per_crash_datagram = 24;

/// All functions of this file are thread-safe.
message_bytes encode(const crash_notice& news);
/// @return whether the datagram carries the identifier of this message; it may still be malformed.
bool is_crash_notice(std::string_view bytes);
/// @return the message, or `malformed`.
result<crash_notice> decode_crash_notice(std::string_view bytes);

}  // namespace ferryroad::peer
