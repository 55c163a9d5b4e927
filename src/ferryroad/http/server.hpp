/// @file
/// HTTP/1.1 server (Beast inside): keep-alive, whole answers and chunked streams, limits,
/// planned stop.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace ferryroad::http {

/// Answers one request: either `send` once, or `begin_stream`, `write` any number of times,
/// and `end_stream`. A stream dropped before `end_stream` closes the connection without the
/// final chunk, so that the other side sees a broken body. Valid until the handler returns.
/// Cancelling a coroutine in a write breaks the answer and throws operation_aborted.
class response_writer {
  public:
    virtual ~response_writer() = default;
    virtual runtime::task<runtime::result<void, error>> send(response answer) = 0;
    virtual runtime::task<runtime::result<void, error>> begin_stream(unsigned status,
                                                                     header_list headers) = 0;
    virtual runtime::task<runtime::result<void, error>> write(std::string chunk) = 0;
    virtual runtime::task<runtime::result<void, error>> end_stream() = 0;
    /// Completes when the other side closes its connection while the handler is at work. Meant
    /// for `handler_work || writer.wait_closed()` (Asio's awaitable operators), whose first
    /// success ends the other: work that throws leaves this waiting, so it catches its own.
    virtual runtime::task<void> wait_closed() = 0;
    /// Closes the connection abruptly: for emulators' cut faults.
    virtual void abort() = 0;
};

struct server_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t connections = 4096;
    base::duration idle = std::chrono::seconds(60);          ///< Between requests.
    base::duration header_read = std::chrono::seconds(30);   ///< For a request's head.
    base::duration request_read = std::chrono::seconds(30);  ///< For the body after it.
    base::duration write = std::chrono::seconds(30);         ///< For one write to progress.
};

/// One listening address. All on the event loop's thread; owned by the composition root,
/// which keeps it until the loop has ended.
class server {
  public:
    using handler = std::function<runtime::task<void>(request, response_writer&)>;

    server(runtime::scheduler& scheduler, server_limits limits, handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Called on each answer that the server gives by itself to what never became a request
    /// (malformed, too large, too many connections), before it is sent.
    using refusal_completion = std::function<void(response&)>;
    /// Before `listen`.
    void complete_refusals(refusal_completion complete);

    /// Listens and accepts. Port 0 takes a free port.
    /// @return the address listened on. @throws boost::system::system_error where it can't.
    base::endpoint listen(const base::endpoint& address);

    /// Limits in force from the next request of each connection on.
    void change_limits(server_limits limits);

    /// First step of a planned stop, for servers behind a balancer that needs a while to see
    /// that this one leaves: goes on accepting, but every answer ends its connection.
    void begin_leaving();

    /// Planned stop: accepts no connection, closes idle ones, answers requests at work with
    /// `Connection: close`. @return once the last connection is closed.
    runtime::task<void> drain();

    /// @return requests now being handled.
    std::size_t active_requests() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::http
