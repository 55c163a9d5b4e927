/// @file
/// Scaffolding: an event loop that runs one coroutine to its end, and a raw socket that says
/// exactly the bytes a test wants said.
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

#include <array>
#include <exception>
#include <functional>

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

}  // namespace ferryroad::test
