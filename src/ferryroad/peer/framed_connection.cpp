#include "ferryroad/peer/framed_connection.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace ferryroad::peer {

namespace {

namespace asio = boost::asio;
using frame_header = std::array<unsigned char, frame_header_bytes>;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

framed_connection::framed_connection(asio::ip::tcp::socket socket, std::size_t largest_frame)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), largest_frame_(largest_frame) {}

runtime::task<result<void>> framed_connection::connect(asio::ip::tcp::endpoint to) {
    const auto [failure] = co_await socket_.async_connect(to, awaitable_tuple);
    if (failure) {
        co_return expired_ ? fault(failure) : error{error_code::unreachable, failure.message()};
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
        co_return fault(failure);
    }
    co_return result<void>();
}

runtime::task<result<std::size_t>> framed_connection::read_length() {
    frame_header header{};
    const auto [failure, bytes] =
        co_await asio::async_read(socket_, asio::buffer(header), awaitable_tuple);
    if (failure) {
        co_return fault(failure);
    }
    const std::size_t length = boost::endian::load_big_u32(header.data());
    if (length > largest_frame_) {
        co_return error{error_code::too_large, "frame of " + std::to_string(length) + " bytes"};
    }
    co_return length;
}

runtime::task<result<message_bytes>> framed_connection::read_payload(std::size_t length) {
    message_bytes payload;
    // Grows with what comes, so that a length alone can't take the memory.
    const auto [failure, bytes] =
        co_await asio::async_read(socket_, asio::dynamic_buffer(payload, length),
                                  asio::transfer_exactly(length), awaitable_tuple);
    if (failure) {
        co_return fault(failure);
    }
    co_return payload;
}

void framed_connection::limit(base::monotonic_time when) {
    timer_.expires_at(runtime::boot_clock::time_point(when.time_since_epoch()));
    const std::uint64_t mine = ++limits_set_;
    timer_.async_wait([weak = weak_from_this(), mine](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        // A wait that ended just before a new limit was set is no longer cancelled by it.
        if (!cancelled && self && self->limits_set_ == mine) {
            self->expired_ = true;
            self->close();
        }
    });
}

void framed_connection::unlimited() {
    ++limits_set_;
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

error framed_connection::fault(const boost::system::error_code& failure) const {
    if (expired_) {
        return error{error_code::timed_out, "no answer in time"};
    }
    return error{error_code::connection_lost, failure.message()};
}

}  // namespace ferryroad::peer
