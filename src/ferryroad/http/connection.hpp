/// @file
/// A TCP connection of a server or client, with a receive buffer and a timeout. Internal to this
/// folder.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// Owned by shared pointers; a coroutine that calls a member holds one. Cancelling a coroutine in
/// one of the calls leaves the object valid: received bytes are kept; an interrupted write is an
/// error, after which the owner must close the connection.
class connection : public std::enable_shared_from_this<connection> {
  public:
    using socket_type = boost::asio::ip::tcp::socket;

    explicit connection(socket_type socket);

    runtime::task<boost::system::error_code> connect(base::endpoint address);

    /// Waits for data and appends at least one byte to `received`. Returns `eof` if the peer
    /// closed.
    runtime::task<boost::system::error_code> read_more();
    /// @return the bytes received and not consumed yet.
    std::string_view received() const { return received_; }
    /// Removes the first `bytes` bytes from `received`.
    void consume(std::size_t bytes);
    /// Ends a read in progress with `operation_aborted` and leaves the connection open.
    void interrupt();

    /// Writes all bytes. @param body must stay valid until the call has completed.
    /// @param progress timeout for each partial write; if zero, the timeout that is already set
    /// stays in force.
    runtime::task<boost::system::error_code> write(std::string head, std::string_view body,
                                                   base::duration progress);
    /// Called with the number of bytes of each partial write.
    using write_observer = std::function<void(std::size_t)>;
    void on_written(write_observer observer) { on_written_ = std::move(observer); }

    /// @return whether a write has failed, other than by being cancelled. The failure may have been
    /// that of the connection, which the system reports once: a read then ends as if the peer had
    /// closed regularly.
    bool has_write_failed() const { return write_failed_; }

    /// Closes the connection after `delay`, unless a new timeout is set or it is cleared before.
    void set_timeout(base::duration delay);
    void clear_timeout();
    /// @return whether the timeout closed the connection.
    bool is_expired() const { return expired_; }

    /// @return whether the connection is open and the peer has neither closed it nor sent anything.
    bool is_idle();
    /// @return whether unread bytes are waiting, in `received` or in the socket's buffer.
    bool has_input();

    /// @throws boost::system::system_error if `failure` means that the calling coroutine was
    /// cancelled; an abort because the connection was closed doesn't throw.
    void throw_if_cancelled(const boost::system::error_code& failure) const;

    bool is_open() const { return socket_.is_open(); }
    /// Closes the sending direction (FIN), discards what still arrives until the peer closes the
    /// connection or `limit` has passed, and closes it. A plain `close` is a reset for the peer if
    /// bytes were not read or arrive later.
    /// @return whether the peer closed the connection.
    runtime::task<bool> close_gracefully(base::duration limit);
    void close();
    /// Closes with a reset (RST), so that the peer can't mistake it for a regular end.
    void reset();
    /// Sets whether `close` and the timeout reset the connection, so that nothing is delivered any
    /// more of what was written and has not arrived.
    void reset_when_closed(bool resets) { resets_when_closed_ = resets; }
    /// Sets whether each way of closing the connection is a reset, also by the end of the process.
    void set_reset_on_close(bool resets);

  private:
    void shutdown_send();
    boost::system::error_code read_available();
    void make_non_blocking();

    socket_type socket_;
    runtime::boot_timer timer_;
    std::string received_;
    write_observer on_written_;
    std::uint64_t timeout_generation_ = 0;
    bool expired_ = false;
    bool write_failed_ = false;
    bool resets_when_closed_ = false;
};

}  // namespace ferryroad::http
