/// @file
/// A TCP connection that carries frames: a length of 4 bytes (big endian), then as many bytes of
/// payload. Internal to this directory.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/memory_budget.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace ferryroad::peer {

/// Size of the length field of a frame, in bytes.
inline constexpr std::size_t frame_header_bytes = 4;

/// Reads and writes frames under a deadline. When the deadline passes, the socket is closed and the
/// operation in progress fails with `timed_out`.
class framed_connection : public std::enable_shared_from_this<framed_connection> {
  public:
    framed_connection(boost::asio::ip::tcp::socket socket, std::size_t max_frame_bytes);

    runtime::task<result<void>> connect(boost::asio::ip::tcp::endpoint to);
    runtime::task<result<void>> write(message_bytes payload);
    /// Waits for the next frame and reads its length field.
    /// @return the length of the payload in bytes.
    runtime::task<result<std::size_t>> read_length();
    /// @param memory grows with the data received, unless it is null, and must outlive the call.
    /// @return `too_large` if it can't grow.
    runtime::task<result<message_bytes>> read_payload(std::size_t length,
                                                      runtime::memory_account* memory);

    /// Sets the deadline of all operations until the next call of `set_deadline` or
    /// `clear_deadline`.
    void set_deadline(base::monotonic_time when);
    /// Removes the deadline.
    void clear_deadline();
    void close();
    /// @return whether another call may use the connection: false if it was closed by either side
    /// or holds unexpected incoming data.
    bool reusable();

  private:
    error to_error(const boost::system::error_code& failure) const;

    boost::asio::ip::tcp::socket socket_;
    runtime::boot_timer timer_;
    std::size_t max_frame_bytes_;
    std::uint64_t deadline_generation_ = 0;  ///< Counts changes of the deadline.
    bool deadline_expired_ = false;
};

}  // namespace ferryroad::peer
