/// @file
/// One TCP connection of a server or a client: bytes received and not yet parsed, writes, and
/// one time limit. Internal to this folder.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// Owned by shared pointers; a coroutine that calls it holds one. Cancelling a coroutine in
/// any of these calls leaves the object whole: bytes read are kept, a write cut short is an
/// error after which the owner closes the connection.
class connection : public std::enable_shared_from_this<connection> {
  public:
    using socket_type = boost::asio::ip::tcp::socket;

    explicit connection(socket_type socket);

    runtime::task<boost::system::error_code> connect(base::endpoint address);

    /// Appends at least one byte to `received`. The other side's close is `eof`.
    runtime::task<boost::system::error_code> read_more();
    std::string_view received() const { return received_; }
    void consume(std::size_t bytes) { received_.erase(0, bytes); }

    /// Writes all bytes. @param progress limit for each step; zero: the limit that is set.
    runtime::task<boost::system::error_code> write(std::string head, std::string body,
                                                   base::duration progress);

    /// Closes the connection after `delay`, unless a new limit is set or it is lifted before.
    void set_limit(base::duration delay);
    void lift_limit();
    /// @return whether the limit closed the connection.
    bool is_expired() const { return expired_; }

    /// @return whether the other side neither closed nor sent anything.
    bool is_quiet();
    /// @return whether bytes wait, received or in the system's buffer.
    bool has_input();

    /// @throws boost::system::system_error where `failure` means that the calling coroutine
    /// was cancelled, and not that the connection was closed.
    void throw_if_cancelled(const boost::system::error_code& failure) const;

    bool is_open() const { return socket_.is_open(); }
    /// Sends the end of stream, keeps reading.
    void shutdown_send();
    void close();
    /// Closes with a reset, so that the other side can't take it for an end.
    void reset();

  private:
    boost::system::error_code read_available();
    void make_non_blocking();

    socket_type socket_;
    runtime::boot_timer timer_;
    std::string received_;
    std::uint64_t limit_generation_ = 0;
    bool expired_ = false;
};

}  // namespace ferryroad::http
