/// @file
/// One TCP connection that carries frames: a length of 4 bytes, big endian, and as many bytes.
/// Private to this folder.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace ferryroad::peer {

/// Bytes of a frame's length.
inline constexpr std::size_t frame_header_bytes = 4;

/// Closes its socket when the time set by `limit` is over, which ends the operation at work.
class framed_connection : public std::enable_shared_from_this<framed_connection> {
  public:
    framed_connection(boost::asio::ip::tcp::socket socket, std::size_t largest_frame);

    runtime::task<result<void>> connect(boost::asio::ip::tcp::endpoint to);
    runtime::task<result<void>> write(message_bytes payload);
    /// @return the length, once it has come.
    runtime::task<result<std::size_t>> read_length();
    runtime::task<result<message_bytes>> read_payload(std::size_t length);

    /// All operations from here on must end by `when`, until the next call of `limit`.
    void limit(base::monotonic_time when);
    /// Lifts the limit.
    void unlimited();
    void close();
    /// @return false once closed, or where the other side has closed or has sent unasked.
    bool reusable();

  private:
    error fault(const boost::system::error_code& failure) const;

    boost::asio::ip::tcp::socket socket_;
    runtime::boot_timer timer_;
    std::size_t largest_frame_;
    std::uint64_t limits_set_ = 0;
    bool expired_ = false;
};

}  // namespace ferryroad::peer
