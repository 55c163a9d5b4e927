/// @file
/// HTTP/1.1 server (Beast) with keep-alive, complete and chunked responses, limits and graceful
/// shutdown.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace ferryroad::http {

/// Writes the response to one request: either `send` once, or `begin_stream`, then `write` any
/// number of times, then `end_stream`. If the handler returns before `end_stream`, the connection
/// is closed without the final chunk, so that the client sees a truncated body. Valid until the
/// handler returns. Cancelling a coroutine in a write leaves the response truncated and throws
/// boost::system::system_error (operation_aborted).
class response_writer {
  public:
    virtual ~response_writer() = default;
    virtual runtime::task<runtime::result<void, error>> send(response answer) = 0;
    virtual runtime::task<runtime::result<void, error>> begin_stream(unsigned status,
                                                                     header_list headers) = 0;
    virtual runtime::task<runtime::result<void, error>> write(std::string chunk) = 0;
    virtual runtime::task<runtime::result<void, error>> end_stream() = 0;
    /// Completes when the client closes the connection while the handler runs. Meant for
    /// `handler_work || writer.wait_closed()` (Asio's awaitable operators), where the first operand
    /// that succeeds cancels the other. An exception from `handler_work` doesn't cancel this wait,
    /// so `handler_work` has to catch its own exceptions.
    virtual runtime::task<void> wait_closed() = 0;
    /// Closes the connection with a reset. Emulators use it to inject truncated responses.
    virtual void abort() = 0;
};

/// Share of a server's memory budget that requests may take. The rest is for responses: without it,
/// requests in progress could not be answered.
inline constexpr double request_memory_share = 2.0 / 3;

/// Timeouts and size limits of a server.
struct server_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    /// At this number, connections that wait for their clients are closed to make room for new
    /// ones, or if there are none, new ones are refused with 503.
    std::size_t connections = 4096;
    base::duration idle = std::chrono::seconds(60);         ///< Between requests.
    base::duration header_read = std::chrono::seconds(30);  ///< For the request head.
    base::duration request_read =
        std::chrono::seconds(30);                     ///< For the request body after the head.
    base::duration write = std::chrono::seconds(30);  ///< For each partial write.
};

/// A server on one listening address. Use it from the event loop's thread only. The composition
/// root owns it and keeps it until the loop has ended.
class server {
  public:
    using handler = std::function<runtime::task<void>(request, response_writer&)>;

    server(runtime::scheduler& scheduler, server_limits limits, handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Called before the server sends an error response of its own to input that never reached the
    /// handler (malformed, too large, too many connections). May change the response.
    using refusal_hook = std::function<void(response&)>;
    /// Sets that callback. Call it before `listen`.
    void set_refusal_hook(refusal_hook complete);

    /// Limits the memory of messages, together with all other users of the budget: a request that
    /// is still arriving may be refused with 503 to make room, and the connection of a client that
    /// does not read its answer be closed. Without a budget there is no limit. Call it before
    /// `listen`.
    void set_memory_budget(std::shared_ptr<runtime::memory_budget> budget);

    /// Starts listening and accepting connections. Port 0 chooses a free port.
    /// @return the actual address. @throws boost::system::system_error if it can't listen there.
    base::endpoint listen(const base::endpoint& address);

    /// Changes the limits, from the next request of each connection on.
    void change_limits(server_limits limits);

    /// First step of a graceful shutdown behind a load balancer that takes a while to notice that
    /// this server is leaving: still accepts connections, but closes each one after its next
    /// response.
    void disable_keep_alive();

    /// Graceful shutdown: stops accepting, closes idle connections and completes requests in
    /// progress with `Connection: close`. Returns when the last connection is closed.
    runtime::task<void> drain();

    /// @return the number of requests being handled.
    std::size_t active_requests() const;
    /// @return the number of connections closed so far to make room for others.
    std::uint64_t evicted_connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::http
