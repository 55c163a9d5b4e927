/// @file
/// HTTP/1.1 client (Beast inside) with a pool of connections for each address. A connection
/// goes back to the pool only after its answer was read whole, so that no answer can reach
/// another request.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::http {

template <typename T>
using result = runtime::result<T, error>;

/// A streamed answer's body, read line by line. Destroying it early closes the connection.
class response_stream {
  public:
    virtual ~response_stream() = default;
    virtual unsigned status() const = 0;
    virtual const header_list& headers() const = 0;
    /// @return the next line without its line end; nothing at the body's proper end. A body
    /// that ends without its final chunk is `connection_lost`; a half line is never returned.
    /// @param limit for this line to come; over it: `timed_out`.
    virtual runtime::task<result<std::optional<std::string>>> next_line(base::duration limit) = 0;
    /// @return all of the rest of the body, for answers that are no stream (error bodies).
    virtual runtime::task<result<std::string>> read_rest(base::duration limit) = 0;
};

/// An answer's body as it comes. Destroying it early closes the connection. Used from the event
/// loop's thread.
class byte_stream {
  public:
    virtual ~byte_stream() = default;
    virtual unsigned status() const = 0;
    virtual const header_list& headers() const = 0;
    /// @return the next bytes, at least one; nothing at the body's proper end. A body without a
    /// length or chunks ends properly where the other side closes without a reset.
    /// @param limit for some bytes to come; over it: `timed_out`.
    virtual runtime::task<result<std::optional<std::string>>> next(base::duration limit) = 0;
};

struct client_limits {
    base::duration connect = std::chrono::seconds(1);
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t line_bytes = std::size_t{1024} * 1024;
    std::size_t idle_connections_per_address = 32;
    base::duration idle = std::chrono::seconds(20);  ///< Below servers' own limit.
};

/// A request on a pooled connection that proves dead before any byte of an answer is sent
/// again on a fresh connection only if `idempotent` says so; else it is `connection_lost`.
enum class resend { allowed, forbidden };

struct relay_options {
    base::duration limit{};  ///< Until the answer's headers have come.
    /// Header that every answer to this request repeats. An answer with another value belongs
    /// to an earlier request of the connection: it is skipped, and the connection not used again.
    std::optional<header> echoed;
    bool fresh_connection = false;
    /// Asked once the connection is there, right before the first byte is written, where it is set:
    /// opening a connection takes a while, and longer where the process stands still. May change
    /// the headers. @return whether the request is still to be sent; otherwise it ends as
    /// `withheld`.
    std::function<bool(header_list&)> last_look;
};

/// How long the answer to a `fetch` is waited for, and who is told that it is large.
struct fetch_options {
    base::duration first{};    ///< Until the answer's headers have come.
    base::duration pause{};    ///< Without any more of the body.
    base::duration longest{};  ///< For the whole exchange, however steadily it goes on.
    /// Called once, as soon as so many bytes of the body have come; not for a smaller one.
    std::size_t large_bytes = 0;
    std::function<void()> is_large;
};

/// Used from the event loop's thread; outlives its streams. Cancelling a coroutine in one of
/// the calls closes the connection and throws boost::system::system_error (operation_aborted).
class client {
  public:
    client(runtime::scheduler& scheduler, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @return whether an idle connection to the address is kept, so that none need be opened.
    bool keeps_connection(const base::endpoint& address) const;
    /// Opens a connection and closes it. @return whether the machine answered that nothing listens
    /// at the address; not where no answer came in the limit for connecting.
    runtime::task<bool> is_refused(base::endpoint address);
    /// @param limit for the whole exchange.
    runtime::task<result<response>> send(const base::endpoint& address, request message,
                                         base::duration limit, resend again);
    /// As `send`, for answers whose size isn't known: goes on for as long as more of it comes.
    runtime::task<result<response>> fetch(const base::endpoint& address, request message,
                                          fetch_options options, resend again);
    /// @param limit until the answer's headers have come.
    runtime::task<result<std::unique_ptr<response_stream>>> open(const base::endpoint& address,
                                                                 request message,
                                                                 base::duration limit,
                                                                 resend again);
    /// Sends a request and passes its answer on as it comes, an early one (before the whole
    /// request was sent) and one without a length included. Never sends twice.
    runtime::task<result<std::unique_ptr<byte_stream>>> relay(const base::endpoint& address,
                                                              request message,
                                                              relay_options options);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::http
