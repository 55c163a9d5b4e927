/// @file
/// HTTP/1.1 client (Beast) with a connection pool per address. A connection returns to the pool
/// only after its response was read completely, so that no response can be delivered to another
/// request.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/errors.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ferryroad::http {

template <typename T>
using result = runtime::result<T, error>;

/// The body of a streamed response, read line by line. Destroying the object before the end of the
/// body closes the connection.
class response_stream {
  public:
    virtual ~response_stream() = default;
    virtual unsigned status() const = 0;
    virtual const header_list& headers() const = 0;
    /// @return the next line without its line end; `nullopt` at the regular end of the body. A body
    /// that ends without its final chunk gives `connection_lost`; an incomplete line is never
    /// returned.
    /// @param limit time for this line to arrive; `timed_out` if it is exceeded.
    virtual runtime::task<result<std::optional<std::string>>> next_line(base::duration limit) = 0;
    /// @return the whole rest of the body, for responses that aren't streams (error bodies).
    /// @param limit time for all of it to arrive; `timed_out` if it is exceeded.
    virtual runtime::task<result<std::string>> read_rest(base::duration limit) = 0;
};

/// Where a response was received. It names its request if `relay_options::echoed_header` is set.
struct answer_attribution {
    bool reused_connection = false;  ///< The connection had carried requests before.
    std::uint32_t skipped = 0;       ///< Responses to other requests that preceded it.

    friend bool operator==(const answer_attribution&, const answer_attribution&) = default;
};

/// The body of a response, read in blocks as they arrive. Destroying the object before the end of
/// the body closes the connection. Use it from the event loop's thread only.
class byte_stream {
  public:
    virtual ~byte_stream() = default;
    virtual unsigned status() const = 0;
    virtual const header_list& headers() const = 0;
    virtual answer_attribution attribution() const { return {}; }
    /// @return whether the body ends where the connection is closed, as it has neither a length nor
    /// chunks: its regular end is then no proof that it is whole.
    virtual bool ends_with_connection() const { return false; }
    /// @return the next bytes, at least one; `nullopt` at the regular end of the body. A body that
    /// has neither a length nor chunks ends regularly when the peer closes without a reset.
    /// @param limit time for the next bytes to arrive; `timed_out` if it is exceeded.
    virtual runtime::task<result<std::optional<std::string>>> next(base::duration limit) = 0;
};

/// Timeouts and size limits of a client.
struct client_limits {
    base::duration connect = std::chrono::seconds(1);  ///< Timeout for opening a connection.
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t line_bytes = std::size_t{1024} * 1024;
    std::size_t idle_connections_per_address = 32;
    /// How long an idle connection is kept; shorter than the servers' own idle timeout.
    base::duration idle = std::chrono::seconds(20);
};

/// Whether a request may be sent again on a new connection if its pooled connection turns out to be
/// closed before any byte of a response. If forbidden, the request fails with `connection_lost`.
enum class resend { allowed, forbidden };

/// Which connection a request is sent on.
enum class connection_choice {
    pooled,  ///< An idle connection of the pool if there is one, else a new one.
    fresh    ///< A new one: no response to another request can be due there.
};

/// Result of opening a connection.
enum class connect_outcome {
    connected,
    refused,  ///< Nothing listens at the address.
    failed    ///< Timed out, or any other error.
};

/// Options of `client::relay`.
struct relay_options {
    base::duration limit{};  ///< Time until the response headers have arrived.
    /// Request header that every response to this request echoes. A response with another value
    /// belongs to an earlier request on the connection, and one without it may belong to none: it
    /// is skipped, and the connection is not reused. On a new connection, where no other response
    /// can be due, a response without it is `malformed`, as is one that no other can follow.
    std::optional<header> echoed_header;
    bool fresh_connection = false;  ///< Opens a new connection instead of taking an idle one.
    /// If set, called once the connection is open, right before the first byte is written: opening
    /// a connection takes time, and more if the process was suspended meanwhile, so that the reason
    /// for sending may have ended. May change the headers. @return whether to send the request; if
    /// not, it fails with `withheld`.
    std::function<bool(header_list&)> last_look;
    /// If set, called at most once, when the server is known to have ended the request: its
    /// response is complete, or the server closed the connection. May be called after the stream
    /// was destroyed, and isn't where a response was given up and the server keeps the connection.
    std::function<void()> on_ended;
};

/// Timeouts and size limit of `client::fetch`, and a callback for large responses.
struct fetch_options {
    base::duration first{};    ///< Time until the response headers have arrived.
    base::duration pause{};    ///< Longest pause between two parts of the body.
    base::duration longest{};  ///< For the whole exchange, even if data keeps arriving.
    /// Body size from which `on_large_body` is called: once, as soon as that many bytes have
    /// arrived.
    std::size_t large_body_bytes = 0;
    std::function<void()> on_large_body;
    /// Longest body taken; nothing: the client's limit.
    std::optional<std::size_t> body_bytes = std::nullopt;
};

/// Use it from the event loop's thread only; it must outlive its streams. Cancelling a coroutine in
/// one of the calls closes the connection and throws boost::system::system_error
/// (operation_aborted).
class client {
  public:
    client(runtime::scheduler& scheduler, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @return whether the pool holds an idle connection to the address, so that a request probably
    /// doesn't have to open one.
    bool has_idle_connection(const base::endpoint& address) const;
    /// Opens a connection, within the pool's connect timeout, and closes it.
    runtime::task<connect_outcome> try_connect(base::endpoint address);
    /// Sends a request and reads the whole response.
    /// @param limit time for the whole exchange.
    runtime::task<result<response>> send(const base::endpoint& address, request message,
                                         base::duration limit, resend again,
                                         connection_choice choice = connection_choice::pooled);
    /// Like `send`, for responses of unknown size: reads on as long as more data arrives within the
    /// timeouts of `options`.
    runtime::task<result<response>> fetch(const base::endpoint& address, request message,
                                          fetch_options options, resend again);
    /// Sends a request and returns the response as a stream of lines.
    /// @param limit time until the response headers have arrived.
    runtime::task<result<std::unique_ptr<response_stream>>> open(const base::endpoint& address,
                                                                 request message,
                                                                 base::duration limit,
                                                                 resend again);
    /// Sends a request and returns the response as a stream of bytes. Also accepts a response that
    /// arrives before the whole request was sent, and one that has neither a length nor chunks.
    /// Never sends the request twice.
    runtime::task<result<std::unique_ptr<byte_stream>>> relay(const base::endpoint& address,
                                                              request message,
                                                              relay_options options);

  private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace ferryroad::http
