#include "ferryroad/peer/framed_connection.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace ferryroad::peer {

namespace {

namespace asio = boost::asio;
using frame_header = std::array<unsigned char, frame_header_bytes>;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_step_bytes = std::size_t{64} * 1024;

}  // namespace

framed_connection::framed_connection(asio::ip::tcp::socket socket, std::size_t max_frame_bytes)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      max_frame_bytes_(max_frame_bytes) {}

runtime::task<result<void>> framed_connection::connect(asio::ip::tcp::endpoint to) {
    const auto [failure] = co_await socket_.async_connect(to, awaitable_tuple);
    if (failure) {
        co_return deadline_expired_ ? to_error(failure)
                                    : error{error_code::unreachable, failure.message()};
    }
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return result<void>();
}

runtime::task<result<void>> framed_connection::write(message_bytes payload) {
    frame_header header{};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(payload.size()));
    const std::array<asio::const_buffer, 2> frame{asio::buffer(header), asio::buffer(payload)};
    const auto [failure, bytes] = co_await asio::async_write(socket_, frame, awaitable_tuple);
    if (failure) {
        co_return to_error(failure);
    }
    co_return result<void>();
}

runtime::task<result<std::size_t>> framed_connection::read_length() {
    frame_header header{};
    const auto [failure, bytes] =
        co_await asio::async_read(socket_, asio::buffer(header), awaitable_tuple);
    if (failure) {
        co_return to_error(failure);
    }
    const std::size_t length = boost::endian::load_big_u32(header.data());
    if (length > max_frame_bytes_) {
        co_return error{error_code::too_large, "frame of " + std::to_string(length) + " bytes"};
    }
    co_return length;
}

runtime::task<result<message_bytes>> framed_connection::read_payload(
    std::size_t length, runtime::memory_account* memory) {
    message_bytes payload;
    // The buffer grows with the data received, so that a forged length can't allocate memory.
    while (payload.size() < length) {
        const std::size_t start = payload.size();
        const std::size_t end = std::min(length, start + read_step_bytes);
        if (memory != nullptr && !memory->grow_to(end)) {
            co_return error{error_code::too_large, "no memory left for a frame"};
        }
        payload.resize(end);
        const auto rest = asio::buffer(payload.data() + start, end - start);
        const auto [failure, bytes] = co_await asio::async_read(socket_, rest, awaitable_tuple);
        if (failure) {
            co_return to_error(failure);
        }
    }
    co_return payload;
}

void framed_connection::set_deadline(base::monotonic_time when) {
    timer_.expires_at(runtime::boot_clock::time_point(when.time_since_epoch()));
    const std::uint64_t generation = ++deadline_generation_;
    timer_.async_wait(
        [weak = weak_from_this(), generation](const boost::system::error_code& cancelled) {
            const auto self = weak.lock();
            // If the timer expired just before the deadline was changed, cancelling it had no
            // effect; the generation tells that this wait is obsolete.
            if (!cancelled && self && self->deadline_generation_ == generation) {
                self->deadline_expired_ = true;
                self->close();
            }
        });
}

void framed_connection::clear_deadline() {
    ++deadline_generation_;
    timer_.cancel();
}

void framed_connection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

bool framed_connection::reusable() {
    if (!socket_.is_open()) {
        return false;
    }
    boost::system::error_code failure;
    socket_.non_blocking(true, failure);
    std::array<char, 1> byte{};
    socket_.receive(asio::buffer(byte), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

error framed_connection::to_error(const boost::system::error_code& failure) const {
    if (deadline_expired_) {
        return error{error_code::timed_out, "deadline passed before the operation completed"};
    }
    return error{error_code::connection_lost, failure.message()};
}

}  // namespace ferryroad::peer
