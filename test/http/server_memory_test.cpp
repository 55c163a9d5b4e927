/// Memory and connections of a server whose clients misbehave: what is refused, and that the memory
/// budget gets everything back whatever way a request ends.
#include "test/http/loopback.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <rapidcheck.h>

#include <memory>
#include <optional>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t largest_body = std::size_t{64} * 1024;
constexpr std::size_t read_block = std::size_t{16} * 1024;

runtime::memory_limits small_limits() {
    runtime::memory_limits limits;
    limits.total_bytes = 6 * largest_body;
    limits.small_bytes = std::size_t{8} * 1024;
    limits.progress_bytes = read_block;
    limits.stagnation = 20ms;
    return limits;
}

http::server_limits server_limits() {
    http::server_limits limits;
    limits.body_bytes = largest_body;
    limits.idle = 300ms;
    limits.header_read = 300ms;
    limits.request_read = 300ms;
    limits.write = 300ms;
    return limits;
}

std::string head_of(std::size_t length, std::string_view path = "/") {
    return "POST " + std::string(path) +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// How a client behaves.
enum class way {
    whole,          ///< Reads the answer.
    leaves_inside,  ///< Closes before the body is complete.
    resets_inside,
    stalls,  ///< Stays open without the last byte, until the server closes.
    too_large,
    malformed,
    handler_throws,
    leaves_early,  ///< Closes while the request is handled.
    never_reads,   ///< Requests a large answer.
    count
};

struct fixture {
    explicit fixture(http::server_limits limits = server_limits())
        : server(loop.scheduler, limits, [this](http::request message, http::response_writer& to) {
              return handle(std::move(message), to);
          }) {
        server.set_memory_budget(memory);
        address = server.listen(test::any_port);
    }

    runtime::task<void> handle(http::request message, http::response_writer& to) {
        using namespace boost::asio::experimental::awaitable_operators;
        ++handled;
        if (message.path() == "/throws") {
            throw std::runtime_error("the handler fails");
        }
        if (message.path() == "/slow") {
            co_await (loop.scheduler.sleep_for(50ms) || to.wait_closed());
        }
        http::response answer;
        answer.body = std::string(message.path() == "/large" ? 3 * largest_body : 1, 'y');
        co_await to.send(std::move(answer));
    }

    runtime::task<std::string> send(std::string text) {
        test::raw_socket socket(loop.context);
        socket.connect(address);
        co_await socket.write(std::move(text));
        co_return co_await socket.read_until("\r\n\r\n");
    }

    runtime::task<void> behave(way how, std::size_t size) {
        test::raw_socket socket(loop.context);
        socket.connect(address);
        const std::string part(size / 2, 'x');
        try {
            co_await play(socket, how, size, part);
        } catch (const boost::system::system_error&) {
            // The server may refuse or close at any moment.
        }
        ++finished;
    }

    runtime::task<void> play(test::raw_socket& socket, way how, std::size_t size,
                             const std::string& part) {
        switch (how) {
            case way::whole:
                co_await socket.write(head_of(size) + std::string(size, 'x'));
                co_await socket.read_until("\r\n\r\n");
                break;
            case way::stalls:
                co_await socket.write(head_of(size) + part);
                co_await socket.read_to_close();
                break;
            case way::too_large:
                co_await socket.write(
                    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int count = 0; count < 6; ++count) {
                    co_await socket.write("4000\r\n" + std::string(read_block, 'x') + "\r\n");
                }
                break;
            case way::malformed:
                co_await socket.write(
                    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + part +
                    "zz\r\n");
                co_await socket.read_to_close();
                break;
            case way::handler_throws:
                co_await socket.write(head_of(size, "/throws") + std::string(size, 'x'));
                co_await socket.read_until("\r\n\r\n");
                break;
            case way::leaves_early:
                co_await socket.write(head_of(size, "/slow") + std::string(size, 'x'));
                break;
            case way::never_reads:
                co_await socket.write(head_of(1, "/large") + "x");
                co_await loop.scheduler.sleep_for(100ms);
                break;
            default:
                co_await socket.write(head_of(size) + part);
                break;
        }
        if (how == way::resets_inside) {
            socket.reset();
        }
    }

    test::loopback loop;
    std::shared_ptr<runtime::memory_budget> memory =
        std::make_shared<runtime::memory_budget>(small_limits());
    http::server server;
    base::endpoint address;
    std::size_t handled = 0;
    std::size_t finished = 0;
};

runtime::task<void> run_clients(fixture& at,
                                const std::vector<std::pair<int, std::size_t>>& clients) {
    for (const auto& [how, size] : clients) {
        at.loop.scheduler.spawn("client", at.behave(static_cast<way>(how), size));
    }
    co_await at.loop.until([&] { return at.finished == clients.size(); });
    co_await at.loop.until([&] { return at.memory->counters().used_bytes == 0; });
}

runtime::task<void> stall_and_send(fixture& at, std::string& answer) {
    std::vector<std::unique_ptr<test::raw_socket>> stalled;
    for (int count = 0; count < 8; ++count) {
        stalled.push_back(std::make_unique<test::raw_socket>(at.loop.context));
        stalled.back()->connect(at.address);
        co_await stalled.back()->write(head_of(largest_body) + std::string(largest_body - 1, 'x'));
    }
    co_await at.loop.scheduler.sleep_for(50ms);
    std::string text = head_of(largest_body) + std::string(largest_body, 'x');
    answer = co_await at.send(std::move(text));
}

runtime::task<void> read_refusals(fixture& at, std::size_t& refused) {
    std::vector<std::unique_ptr<test::raw_socket>> clients;
    for (int count = 0; count < 8; ++count) {
        clients.push_back(std::make_unique<test::raw_socket>(at.loop.context));
        clients.back()->connect(at.address);
        co_await clients.back()->write(head_of(largest_body) + std::string(largest_body - 1, 'x'));
    }
    for (const auto& client : clients) {
        const std::string answer = co_await client->read_until("\r\n\r\n");
        const bool retryable = answer.find("\r\nRetry-After: ") != std::string::npos;
        refused += answer.starts_with("HTTP/1.1 503 ") && retryable ? 1 : 0;
    }
}

runtime::task<void> connect_and_send(fixture& at, std::size_t idle, std::string& answer) {
    std::vector<std::unique_ptr<test::raw_socket>> clients;
    for (std::size_t count = 0; count < idle; ++count) {
        clients.push_back(std::make_unique<test::raw_socket>(at.loop.context));
        clients.back()->connect(at.address);
        co_await clients.back()->write(head_of(0));
        co_await clients.back()->read_until("\r\n\r\n");
    }
    std::string text = head_of(0);
    answer = co_await at.send(std::move(text));
}

}  // namespace

Test(server_memory, a_request_of_the_largest_size_is_served_beside_stalled_ones) {
    fixture at;
    std::string answer;
    cr_assert(at.loop.run([&] { return stall_and_send(at, answer); }));
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    cr_assert_leq(at.memory->counters().peak_bytes, small_limits().total_bytes);
}

Test(server_memory, evicted_requests_are_refused_and_not_handled) {
    fixture at;
    std::size_t refused = 0;
    cr_assert(at.loop.run([&] { return read_refusals(at, refused); }));
    cr_assert_geq(refused, 4U);
    cr_assert_eq(at.handled, 0U);
}

Test(server_memory, an_idle_connection_is_closed_for_a_new_one) {
    http::server_limits limits = server_limits();
    limits.connections = 3;
    limits.idle = 10s;
    fixture at(limits);
    std::string answer;
    cr_assert(at.loop.run([&] { return connect_and_send(at, 3, answer); }));
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    cr_assert_eq(at.server.evicted_connections(), 1U);
}

/// A random crowd; each client behaves in one of the ways.
Test(server_memory, the_budget_gets_everything_back_whatever_way_requests_end) {
    const bool held = rc::check([] {
        const auto ways = static_cast<int>(way::count);
        const auto clients = *rc::gen::resize(
            12, rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(
                    rc::gen::inRange(0, ways), rc::gen::inRange<std::size_t>(1, largest_body))));
        fixture at;
        RC_ASSERT(at.loop.run([&] { return run_clients(at, clients); }));
        RC_ASSERT(at.memory->counters().peak_bytes <= small_limits().total_bytes);
    });
    cr_assert(held);
}
