/// @file
/// Interface for messages between routers: datagrams (probes, gossip) and calls (snapshots,
/// lookups). Messages are FlatBuffers of schema/wire.fbs; `peer/codec.hpp` converts them to typed
/// messages.
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

/// An encoded message of schema/wire.fbs.
using message_bytes = std::string;

/// Largest datagram that is sent, in bytes; it fits into an Ethernet frame.
inline constexpr std::size_t max_datagram_bytes = 1400;
/// Largest request or response of a call, in bytes; a snapshot of the configuration fits.
inline constexpr std::size_t max_call_bytes = std::size_t{16} * 1024 * 1024;

/// Traffic totals. Control traffic has a budget of 4 KB per second and node.
struct transport_counters {
    std::uint64_t datagram_bytes_sent = 0;
    std::uint64_t datagram_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    std::uint64_t call_bytes_received = 0;
};

/// Sends datagrams and calls to other routers. A router has one address: its UDP and TCP ports have
/// the same number. Must be used from the event loop's thread; handlers must be set once, before
/// any traffic.
class transport {
  public:
    using datagram_handler =
        std::function<void(const base::endpoint& from, std::string_view bytes)>;
    /// Handles a call and returns the response. An empty response closes the connection instead.
    using call_handler = std::function<runtime::task<message_bytes>(message_bytes request)>;

    virtual ~transport() = default;
    virtual void on_datagram(datagram_handler handler) = 0;
    virtual void on_call(call_handler handler) = 0;
    /// Sends a datagram, which may be lost, duplicated or reordered. Never blocks.
    virtual void send(const base::endpoint& to, message_bytes bytes) = 0;
    /// Sends a request and waits for its response.
    /// @param limit time allowed for the whole call, including connecting.
    virtual runtime::task<result<message_bytes>> call(const base::endpoint& to,
                                                      message_bytes request,
                                                      base::duration limit) = 0;
    virtual const transport_counters& counters() const = 0;
};

}  // namespace ferryroad::peer
