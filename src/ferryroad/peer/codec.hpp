/// @file
/// Conversion between typed messages and FlatBuffers of schema/wire.fbs. Decoding verifies the
/// structure of the buffer and the range of every field, so it is safe on untrusted bytes: they
/// give a message or `malformed`.
#pragma once

#include "ferryroad/peer/errors.hpp"
#include "ferryroad/peer/messages.hpp"
#include "ferryroad/peer/transport.hpp"

#include <cstddef>
#include <string_view>

namespace ferryroad::peer {

/// Largest number of bytes of a name, and of entries of each list of a message.
struct codec_limits {
    static constexpr std::size_t name_bytes = 128;
    static constexpr std::size_t members = 4096;
    static constexpr std::size_t notices = 64;
    static constexpr std::size_t pieces = 4096;
    static constexpr std::size_t reports = 4096;
    static constexpr std::size_t holders = 1024;
    static constexpr std::size_t dispatches = 1024;
    static constexpr std::size_t resources = 100'000;
    static constexpr std::size_t changes = 10'000;
};

message_bytes encode(const datagram& message);
message_bytes encode(const call& message);

/// @return the message, or `malformed`. In a decoded message required names are not empty,
/// addresses are IP addresses, and amounts are finite and not negative.
result<datagram> decode_datagram(std::string_view bytes);
result<call> decode_call(std::string_view bytes);

}  // namespace ferryroad::peer
