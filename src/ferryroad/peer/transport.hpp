/// @file
/// Port between routers: datagrams (probes, gossip) and calls (snapshots, lookups). Bytes are
/// FlatBuffers of schema/wire.fbs; `peer/codec.hpp` turns them into typed messages.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ferryroad::peer {

template <typename T>
using result = runtime::result<T, error>;

/// Encoded message of schema/wire.fbs.
using message_bytes = std::string;

/// Largest datagram sent: fits an Ethernet frame.
inline constexpr std::size_t largest_datagram = 1400;
/// Largest call or answer: a snapshot of the configuration fits.
inline constexpr std::size_t largest_call = std::size_t{16} * 1024 * 1024;

/// Bytes counted for the control budget (letter 1: 4 KB a second a node).
struct transport_counters {
    std::uint64_t datagram_bytes_sent = 0;
    std::uint64_t datagram_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    std::uint64_t call_bytes_received = 0;
};

/// Both ways to reach another router at one address (the UDP and TCP ports are the same
/// number). Used from the event loop's thread; handlers are set once, before traffic.
class transport {
  public:
    using datagram_handler =
        std::function<void(const base::endpoint& from, std::string_view bytes)>;
    /// Answers a call; an empty answer closes the connection without one.
    using call_handler = std::function<runtime::task<message_bytes>(message_bytes request)>;

    virtual ~transport() = default;
    virtual void on_datagram(datagram_handler handler) = 0;
    virtual void on_call(call_handler handler) = 0;
    /// May be lost, doubled or reordered; never blocks.
    virtual void send(const base::endpoint& to, message_bytes bytes) = 0;
    /// One request and its own answer.
    virtual runtime::task<result<message_bytes>> call(const base::endpoint& to,
                                                      message_bytes request,
                                                      base::duration limit) = 0;
    virtual const transport_counters& counters() const = 0;
};

}  // namespace ferryroad::peer
