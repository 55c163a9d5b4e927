/// @file
/// Transport on Asio: UDP for datagrams, TCP for calls. Each TCP message is prefixed by its length
/// (4 bytes, big endian). A connection carries one call at a time and is reused for later calls.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace ferryroad::peer {

/// Limits of `asio_transport`.
struct transport_limits {
    /// At this number, the oldest one that has not sent a whole call yet is closed to make room for
    /// a new one; if all have, the new one is closed.
    std::size_t incoming_connections = 1024;
    std::size_t idle_connections_per_address = 2;
    /// Largest frame in either direction, in bytes.
    std::size_t call_bytes = max_call_bytes;
    /// Idle timeout of outgoing connections; shorter than the server's, so that a client doesn't
    /// reuse a connection that the server is closing.
    base::duration client_idle = std::chrono::seconds(30);
    /// Idle timeout of incoming connections.
    base::duration server_idle = std::chrono::seconds(60);
    /// Timeout for writing a frame, and for reading one after its length has arrived.
    base::duration frame = std::chrono::seconds(10);
    /// Limits the memory of incoming calls. A call that is still arriving may be dropped, with its
    /// connection, to make room. Null: unlimited.
    std::shared_ptr<runtime::memory_budget> memory;
};

/// Must be used and destroyed on the event loop's thread. Calls in progress when it is destroyed
/// fail with `connection_lost`.
class asio_transport final : public transport {
  public:
    asio_transport(runtime::scheduler& scheduler, transport_limits limits);
    ~asio_transport() override;
    asio_transport(const asio_transport&) = delete;
    asio_transport& operator=(const asio_transport&) = delete;

    /// Binds UDP and TCP to the same port and starts to receive. Port 0 picks a port that is free
    /// for both.
    /// @return the address bound.
    /// @throws boost::system::system_error if the address can't be bound.
    base::endpoint listen(const base::endpoint& address);
    /// Closes all sockets. Idempotent.
    void stop();

    void on_datagram(datagram_handler handler) override;
    void on_call(call_handler handler) override;
    void send(const base::endpoint& to, message_bytes bytes) override;
    runtime::task<result<message_bytes>> call(const base::endpoint& to, message_bytes request,
                                              base::duration limit) override;
    const transport_counters& counters() const override;

    /// @return the number of open connections from other routers.
    std::size_t incoming_connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::peer
