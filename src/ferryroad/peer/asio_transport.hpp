/// @file
/// The transport on Asio: UDP datagrams, and TCP calls framed by a length of 4 bytes (big
/// endian). A connection carries one call at a time and is used again for the next.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace ferryroad::peer {

struct transport_limits {
    std::size_t incoming_connections = 1024;
    std::size_t idle_connections_per_address = 2;
    /// Frames of both directions.
    std::size_t call_bytes = largest_call;
    /// A client gives a connection up before the server does.
    base::duration client_idle = std::chrono::seconds(30);
    base::duration server_idle = std::chrono::seconds(60);
    /// For one whole frame to be read once its length has come, or to be written.
    base::duration frame = std::chrono::seconds(10);
};

/// Owned by the composition root, on the event loop's thread. Calls at work when it is
/// destroyed end as `connection_lost`.
class asio_transport final : public transport {
  public:
    asio_transport(runtime::scheduler& scheduler, transport_limits limits);
    ~asio_transport() override;
    asio_transport(const asio_transport&) = delete;
    asio_transport& operator=(const asio_transport&) = delete;

    /// Binds UDP and TCP on one port and starts to receive; port 0 takes a port that is free
    /// for both. @return the address bound. @throws boost::system::system_error.
    base::endpoint listen(const base::endpoint& address);
    /// Closes every socket. Idempotent.
    void stop();

    void on_datagram(datagram_handler handler) override;
    void on_call(call_handler handler) override;
    void send(const base::endpoint& to, message_bytes bytes) override;
    runtime::task<result<message_bytes>> call(const base::endpoint& to, message_bytes request,
                                              base::duration limit) override;
    const transport_counters& counters() const override;

    /// @return connections now open from other routers.
    std::size_t incoming_connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::peer
