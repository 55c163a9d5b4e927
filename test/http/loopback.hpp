/// @file
/// Scaffolding: an event loop that runs one coroutine to its end, and raw sockets that say
/// exactly the bytes a test wants said. Coroutine lambdas stay out of Criterion's test bodies:
/// GCC 12 gives their parts one symbol there.
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

/// One loop for server and client of a test.
struct loopback {
    boost::asio::io_context context{1};
    runtime::asio_scheduler scheduler{context, 1};

    /// Runs `body` to its end; the loop is given up after a generous limit.
    /// @return whether it ended.
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

    /// Yields until `condition` holds.
    runtime::task<void> until(std::function<bool()> condition) {
        while (!condition()) {
            co_await scheduler.sleep_for(std::chrono::milliseconds(1));
        }
    }
};

inline const base::endpoint any_port{"127.0.0.1", 0};

/// A TCP connection by hand.
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
    /// @return all that came by the time `end` has come, or by the other side's close.
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
                break;
            }
        }
        co_return text;
    }
    runtime::task<std::string> read_to_close() { return read_until({}); }
    void close() { socket_.close(); }

  private:
    boost::asio::ip::tcp::socket socket_;
};

/// What a scripted server does on one connection: answers its requests (without body) one by
/// one, then closes, or keeps the connection and says nothing more.
struct script {
    std::vector<std::string> answers;
    bool close_at_end = true;
};

/// Plays the nth script on the nth connection.
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

  private:
    runtime::task<void> accept() {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            const std::size_t index = connections_++;
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
        if (!one.close_at_end) {
            co_await socket.read_to_close();
        }
    }

    loopback& loop_;
    std::vector<script> scripts_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t connections_ = 0;
    std::size_t requests_ = 0;
};

/// Parameters for a Criterion test over the rows of a table, by index.
inline criterion_test_params row_indexes(std::size_t count) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = indexes.size(); index < count; ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), count);
}

}  // namespace ferryroad::test
