#include "ferryroad/http/connection.hpp"

#include "ferryroad/runtime/boot_clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <array>

namespace ferryroad::http {

namespace {

namespace asio = boost::asio;

constexpr std::size_t read_block_bytes = std::size_t{16} * 1024;
/// A larger receive buffer is freed as soon as it is empty.
constexpr std::size_t kept_buffer_bytes = std::size_t{2} * 1024;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

}  // namespace

connection::connection(socket_type socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

runtime::task<boost::system::error_code> connection::connect(base::endpoint address) {
    boost::system::error_code failure;
    const auto number = asio::ip::make_address(address.address, failure);
    if (failure) {
        co_return failure;
    }
    const asio::ip::tcp::endpoint target(number, address.port);
    const auto [connect_failure] = co_await socket_.async_connect(target, as_result);
    if (!connect_failure) {
        boost::system::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    co_return connect_failure;
}

runtime::task<boost::system::error_code> connection::read_more() {
    for (;;) {
        const auto [wait_failure] = co_await socket_.async_wait(socket_type::wait_read, as_result);
        if (wait_failure) {
            co_return wait_failure;
        }
        const boost::system::error_code failure = read_available();
        if (failure != asio::error::would_block) {
            co_return failure;
        }
    }
}

void connection::make_non_blocking() {
    if (!socket_.non_blocking()) {
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
    }
}

boost::system::error_code connection::read_available() {
    std::array<char, read_block_bytes> block{};
    boost::system::error_code failure;
    make_non_blocking();
    const std::size_t count = socket_.read_some(asio::buffer(block), failure);
    received_.append(block.data(), count);
    return failure;
}

void connection::consume(std::size_t bytes) {
    received_.erase(0, bytes);
    if (received_.empty() && received_.capacity() > kept_buffer_bytes) {
        std::string().swap(received_);
    }
}

void connection::interrupt() {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

runtime::task<boost::system::error_code> connection::write(std::string head, std::string_view body,
                                                           base::duration progress) {
    const std::size_t total = head.size() + body.size();
    std::size_t written = 0;
    while (written < total) {
        if (progress > base::duration::zero()) {
            set_timeout(progress);
        }
        const std::size_t head_offset = std::min(written, head.size());
        const std::size_t body_offset = written - head_offset;
        const std::array<asio::const_buffer, 2> rest = {
            asio::buffer(head) + head_offset, asio::buffer(body.data(), body.size()) + body_offset};
        const auto [failure, count] = co_await socket_.async_write_some(rest, as_result);
        if (failure) {
            write_failed_ = write_failed_ || failure != asio::error::operation_aborted;
            co_return failure;
        }
        written += count;
        if (on_written_) {
            on_written_(count);
        }
    }
    if (progress > base::duration::zero()) {
        clear_timeout();
    }
    co_return boost::system::error_code{};
}

void connection::set_timeout(base::duration delay) {
    const std::uint64_t generation = ++timeout_generation_;
    timer_.expires_after(delay);
    timer_.async_wait([weak = weak_from_this(), generation](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (failure || !self || self->timeout_generation_ != generation) {
            return;
        }
        self->expired_ = true;
        self->close();
    });
}

void connection::clear_timeout() {
    ++timeout_generation_;
    timer_.cancel();
}

bool connection::is_idle() {
    if (!received_.empty() || !socket_.is_open()) {
        return false;
    }
    std::array<char, 1> byte{};
    boost::system::error_code failure;
    make_non_blocking();
    socket_.receive(asio::buffer(byte), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

bool connection::has_input() {
    boost::system::error_code failure;
    return !received_.empty() || (socket_.is_open() && socket_.available(failure) > 0);
}

void connection::throw_if_cancelled(const boost::system::error_code& failure) const {
    if (failure == asio::error::operation_aborted && socket_.is_open()) {
        throw boost::system::system_error(failure);
    }
}

void connection::shutdown_send() {
    boost::system::error_code ignored;
    socket_.shutdown(socket_type::shutdown_send, ignored);
}

runtime::task<bool> connection::close_gracefully(base::duration limit) {
    shutdown_send();
    set_timeout(limit);
    boost::system::error_code failure;
    while (!failure) {
        consume(received_.size());
        failure = co_await read_more();
    }
    const bool closed_by_peer = !is_expired() && failure != asio::error::operation_aborted;
    close();
    co_return closed_by_peer;
}

void connection::close() {
    clear_timeout();
    if (resets_when_closed_ && socket_.is_open()) {
        set_reset_on_close(true);
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void connection::reset() {
    set_reset_on_close(true);
    close();
}

void connection::set_reset_on_close(bool resets) {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(resets, 0), ignored);
}

}  // namespace ferryroad::http
