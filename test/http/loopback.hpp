/// @file
/// Test fixtures: an event loop that runs one coroutine to completion, and raw sockets that send
/// exactly the given bytes. Don't write coroutine lambdas in the body of a Criterion test: GCC 12
/// gives the functions that it generates for them the same symbol there.
#pragma once

#include "ferryroad/http/client.hpp"
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <exception>
#include <functional>
#include <string>
#include <vector>

namespace ferryroad::test {

/// The event loop shared by server and client of a test.
struct loopback {
    boost::asio::io_context context{1};
    runtime::asio_scheduler scheduler{context, 1};

    /// Runs `body` to completion, for 30 s at most. Rethrows its exception.
    /// @return whether it completed.
    bool run(const std::function<runtime::task<void>()>& body) {
        bool ended = false;
        std::exception_ptr failure;
        const auto work = [&]() -> runtime::task<void> {
            try {
                co_await body();
            } catch (...) {
                failure = std::current_exception();
            }
            ended = true;
            context.stop();
        };
        scheduler.spawn("test", work());
        context.run_for(std::chrono::seconds(30));
        if (failure) {
            std::rethrow_exception(failure);
        }
        return ended;
    }

    /// Waits until `condition` holds, polling every millisecond.
    runtime::task<void> until(std::function<bool()> condition) {
        while (!condition()) {
            co_await scheduler.sleep_for(std::chrono::milliseconds(1));
        }
    }
};

inline const base::endpoint any_port{"127.0.0.1", 0};

/// A TCP connection without any HTTP logic.
class raw_socket {
  public:
    explicit raw_socket(boost::asio::io_context& context) : socket_(context) {}
    explicit raw_socket(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

    void connect(const base::endpoint& address) {
        socket_.connect({boost::asio::ip::make_address(address.address), address.port});
    }
    runtime::task<void> write(std::string bytes) {
        co_await boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                          boost::asio::use_awaitable);
    }
    /// @return all bytes received until they contain `end` or the peer closes.
    runtime::task<std::string> read_until(std::string end) {
        std::string text;
        while (end.empty() || text.find(end) == std::string::npos) {
            std::array<char, 4096> block{};
            boost::system::error_code failure;
            const std::size_t count = co_await socket_.async_read_some(
                boost::asio::buffer(block),
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            text.append(block.data(), count);
            if (failure) {
                was_reset_ = failure != boost::asio::error::eof;
                break;
            }
        }
        co_return text;
    }
    runtime::task<std::string> read_to_close() { return read_until({}); }
    /// @return whether the last read ended with an error, and not with a regular close.
    bool was_reset() const { return was_reset_; }
    void close() { socket_.close(); }
    /// Closes with a reset (RST).
    void reset() {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }

  private:
    boost::asio::ip::tcp::socket socket_;
    bool was_reset_ = false;
};

/// What a scripted server does on one connection: sends one answer per request (without a body),
/// then closes or resets the connection, or leaves it open without sending anything more.
struct script {
    std::vector<std::string> answers;
    bool close_at_end = true;
    bool reset_at_end = false;
};

/// A server that runs the nth script on the nth connection.
class scripted_server {
  public:
    scripted_server(loopback& loop, std::vector<script> scripts)
        : loop_(loop),
          scripts_(std::move(scripts)),
          acceptor_(loop.context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
        loop.scheduler.spawn("scripted server", accept());
    }
    base::endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    std::size_t connections() const { return connections_; }
    std::size_t requests() const { return requests_; }
    /// Replaces the scripts, of which the next connection runs the first.
    void set_scripts(std::vector<script> scripts) {
        scripts_ = std::move(scripts);
        first_ = connections_;
    }

  private:
    runtime::task<void> accept() {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            const std::size_t index = connections_++ - first_;
            script one = index < scripts_.size() ? scripts_[index] : script{};
            loop_.scheduler.spawn("script", play(std::move(one), raw_socket(std::move(socket))));
        }
    }
    runtime::task<void> play(script one, raw_socket socket) {
        for (const std::string& answer : one.answers) {
            const std::string got = co_await socket.read_until("\r\n\r\n");
            if (got.empty()) {
                co_return;
            }
            ++requests_;
            co_await socket.write(answer);
        }
        if (one.reset_at_end) {
            socket.reset();
        } else if (!one.close_at_end) {
            co_await socket.read_to_close();
        }
    }

    loopback& loop_;
    std::vector<script> scripts_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t connections_ = 0;
    std::size_t first_ = 0;  ///< Number of connections before the first script.
    std::size_t requests_ = 0;
};

/// Parameters for a Criterion test: the indexes of the rows of a table.
inline criterion_test_params row_indexes(std::size_t count) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = indexes.size(); index < count; ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), count);
}

}  // namespace ferryroad::test
