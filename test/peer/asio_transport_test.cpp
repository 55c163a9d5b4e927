/// Datagrams and calls between two transports on loopback, including failures and hostile input.
#include "ferryroad/peer/asio_transport.hpp"

#include "ferryroad/runtime/asio_scheduler.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace ferryroad;
using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Timeout long enough not to expire on a heavily loaded machine.
constexpr base::duration long_timeout = 30s;

/// A server and a client on one event loop.
struct transport_pair {
    asio::io_context context;
    runtime::asio_scheduler scheduler{context, 1};
    peer::asio_transport server;
    peer::asio_transport client;
    base::endpoint address;
    std::size_t calls_served = 0;

    explicit transport_pair(peer::transport_limits limits = {})
        : server(scheduler, limits), client(scheduler, limits) {
        server.on_call([this](peer::message_bytes request) { return serve(std::move(request)); });
        address = server.listen({"127.0.0.1", 0});
    }

    /// Echoes the request, or behaves as its text says: "hang", "nothing", "throw" or "slow ...".
    runtime::task<peer::message_bytes> serve(peer::message_bytes request) {
        ++calls_served;
        if (request == "hang") {
            co_await scheduler.sleep_for(long_timeout);
        }
        if (request == "nothing") {
            co_return peer::message_bytes();
        }
        if (request == "throw") {
            throw std::runtime_error("handler fault");
        }
        if (request.starts_with("slow")) {
            co_await scheduler.sleep_for(20ms);
        }
        co_return "answer to " + request;
    }

    void run_until(const std::function<bool()>& condition) {
        while (!condition()) {
            context.run_one();
        }
    }

    peer::result<peer::message_bytes> call(const std::string& request,
                                           base::duration limit = long_timeout) {
        std::optional<peer::result<peer::message_bytes>> answer;
        scheduler.spawn("test", store_answer(&answer, address, request, limit));
        run_until([&] { return answer.has_value(); });
        return *answer;
    }

    runtime::task<void> store_answer(std::optional<peer::result<peer::message_bytes>>* answer,
                                     base::endpoint to, std::string request, base::duration limit) {
        *answer = co_await client.call(to, request, limit);
    }
};

/// Connects to the server's TCP port and writes arbitrary bytes.
asio::ip::tcp::socket raw_connection(transport_pair& transports, const std::string& bytes) {
    asio::ip::tcp::socket socket(transports.context);
    socket.connect({asio::ip::make_address(transports.address.address), transports.address.port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

/// Runs the event loop until the server has closed the connection.
void wait_closed(transport_pair& transports, asio::ip::tcp::socket& socket) {
    bool closed = false;
    std::string received;
    asio::async_read(
        socket, asio::dynamic_buffer(received),
        [&](const boost::system::error_code& /*end*/, std::size_t /*size*/) { closed = true; });
    transports.run_until([&] { return closed; });
}

void expect_error(const peer::result<peer::message_bytes>& answer, peer::error_code code) {
    cr_assert(answer.has_error());
    cr_assert_eq(static_cast<int>(answer.error().code), static_cast<int>(code), "%s",
                 answer.error().message.c_str());
}

}  // namespace

Test(asio_transport, call_answers_and_reuses_the_connection) {
    transport_pair transports;
    for (int round = 0; round < 5; ++round) {
        const std::string request = "request " + std::to_string(round);
        const auto answer = transports.call(request);
        cr_assert(answer.has_value());
        cr_assert(*answer == "answer to " + request);
    }
    cr_assert_eq(transports.server.incoming_connections(), 1);
    const std::uint64_t requests = 5 * (4 + std::string("request 0").size());
    cr_assert_eq(transports.client.counters().call_bytes_sent, requests);
    cr_assert_eq(transports.server.counters().call_bytes_received, requests);
    cr_assert_eq(transports.client.counters().call_bytes_received,
                 transports.server.counters().call_bytes_sent);
}

Test(asio_transport, concurrent_calls_get_their_own_answers) {
    transport_pair transports;
    constexpr std::size_t count = 40;
    std::vector<std::optional<peer::result<peer::message_bytes>>> answers(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::string request = (index % 3 == 0 ? "slow " : "fast ") + std::to_string(index);
        transports.scheduler.spawn(
            "test",
            transports.store_answer(&answers[index], transports.address, request, long_timeout));
    }
    for (std::size_t index = 0; index < count; ++index) {
        transports.run_until([&] { return answers[index].has_value(); });
        cr_assert(answers[index]->has_value());
        cr_assert((*answers[index])->ends_with(" " + std::to_string(index)));
    }
}

Test(asio_transport, late_response_reaches_no_other_call) {
    transport_pair transports;
    expect_error(transports.call("hang", 30ms), peer::error_code::timed_out);
    const auto answer = transports.call("next");
    cr_assert(answer.has_value());
    cr_assert(*answer == "answer to next");
}

Test(asio_transport, handler_failure_ends_only_its_call) {
    transport_pair transports;
    expect_error(transports.call("nothing"), peer::error_code::connection_lost);
    expect_error(transports.call("throw"), peer::error_code::connection_lost);
    cr_assert(transports.call("next").has_value());
}

Test(asio_transport, closed_port_and_bad_address_are_unreachable) {
    transport_pair transports;
    transports.server.stop();
    expect_error(transports.call("request"), peer::error_code::unreachable);
    transports.address = {"not an IP number", 1};
    expect_error(transports.call("request"), peer::error_code::unreachable);
}

Test(asio_transport, restarted_server_is_reached_again) {
    transport_pair transports;
    cr_assert(transports.call("first").has_value());
    const base::endpoint same_address = transports.address;
    transports.server.stop();
    transports.run_until([&] { return transports.server.incoming_connections() == 0; });
    peer::asio_transport restarted(transports.scheduler, {});
    restarted.on_call([&](peer::message_bytes request) { return transports.serve(request); });
    restarted.listen(same_address);
    const auto answer = transports.call("second");
    cr_assert(answer.has_value(), "the client reused the idle connection to the stopped server");
}

Test(asio_transport, too_large_request_is_not_sent) {
    peer::transport_limits limits;
    limits.call_bytes = 100;
    transport_pair transports(limits);
    expect_error(transports.call(std::string(101, 'x')), peer::error_code::too_large);
    cr_assert_eq(transports.calls_served, 0);
    cr_assert(transports.call("small").has_value());
}

namespace {

/// Bytes that are not a valid call: the server must close the connection and keep serving others.
const std::string hostile_rows[] = {
    std::string("\xff\xff\xff\xff", 4),     // Frame length of 4 GB.
    std::string("\x01\x00\x00\x01", 4),     // Frame length one byte above the limit of 16 MB.
    std::string("GET / HTTP/1.1\r\n\r\n"),  // Another protocol.
    std::string("\x00\x00\x00\x07nothing",
                11),  // Request to which the handler returns no response.
};
constexpr std::size_t hostile_count = sizeof(hostile_rows) / sizeof(hostile_rows[0]);

}  // namespace

ParameterizedTestParameters(asio_transport, hostile_bytes) {
    static std::size_t indexes[hostile_count];
    for (std::size_t index = 0; index < hostile_count; ++index) {
        indexes[index] = index;
    }
    return cr_make_param_array(std::size_t, indexes, hostile_count);
}

ParameterizedTest(std::size_t* index, asio_transport, hostile_bytes) {
    transport_pair transports;
    auto socket = raw_connection(transports, hostile_rows[*index]);
    wait_closed(transports, socket);
    cr_assert(transports.call("next").has_value());
}

Test(asio_transport, incomplete_frame_times_out) {
    peer::transport_limits limits;
    limits.frame = 20ms;
    transport_pair transports(limits);
    auto socket = raw_connection(transports, std::string("\x00\x00\x00\x10half", 8));
    wait_closed(transports, socket);
    cr_assert_eq(transports.calls_served, 0);
}

Test(asio_transport, incoming_connections_are_limited) {
    peer::transport_limits limits;
    limits.incoming_connections = 1;
    transport_pair transports(limits);
    cr_assert(transports.call("first").has_value());
    auto second = raw_connection(transports, "x");
    wait_closed(transports, second);
    cr_assert_eq(transports.server.incoming_connections(), 1);
    cr_assert(transports.call("again").has_value());
}

Test(asio_transport, connections_without_a_call_are_closed_for_new_ones) {
    peer::transport_limits limits;
    limits.incoming_connections = 2;
    transport_pair transports(limits);
    auto first = raw_connection(transports, std::string("\x00\x00\x00\x10half", 8));
    auto second = raw_connection(transports, "");
    transports.run_until([&] { return transports.server.incoming_connections() == 2; });
    cr_assert(transports.call("request").has_value());
    wait_closed(transports, first);
}

Test(asio_transport, a_call_that_stalls_is_evicted_for_others) {
    peer::transport_limits limits;
    constexpr std::size_t frame_bytes = 96;
    limits.memory = std::make_shared<runtime::memory_budget>(
        runtime::memory_limits{2 * frame_bytes, 0, 0, frame_bytes, 10ms});
    transport_pair transports(limits);
    const std::string stalled =
        std::string("\x00\x00\x00\x60", 4) + std::string(frame_bytes - 1, 'x');
    auto first = raw_connection(transports, stalled);
    auto second = raw_connection(transports, stalled);
    transports.run_until([&] { return limits.memory->counters().used_bytes == 2 * frame_bytes; });
    std::this_thread::sleep_for(20ms);
    const auto answer = transports.call(std::string(frame_bytes, 'y'));
    cr_assert(answer.has_value());
    cr_assert_eq(limits.memory->counters().evicted, 1U);
    first.close();
    second.close();
    transports.run_until([&] { return limits.memory->counters().used_bytes == 0; });
}

Test(asio_transport, datagrams_in_both_directions) {
    transport_pair transports;
    const base::endpoint client_address = transports.client.listen({"127.0.0.1", 0});
    std::string at_server;
    std::string at_client;
    transports.server.on_datagram([&](const base::endpoint& from, std::string_view bytes) {
        cr_assert(from == client_address);
        at_server = bytes;
        transports.server.send(from, "pong");
    });
    transports.client.on_datagram(
        [&](const base::endpoint& /*from*/, std::string_view bytes) { at_client = bytes; });
    transports.client.send(transports.address, "ping");
    transports.run_until([&] { return !at_client.empty(); });
    cr_assert(at_server == "ping");
    cr_assert(at_client == "pong");
    cr_assert_eq(transports.client.counters().datagram_bytes_sent, 4);
    cr_assert_eq(transports.client.counters().datagram_bytes_received, 4);
}

Test(asio_transport, too_large_datagrams_are_dropped) {
    transport_pair transports;
    transports.client.listen({"127.0.0.1", 0});
    std::vector<std::size_t> sizes;
    transports.server.on_datagram([&](const base::endpoint& /*from*/, std::string_view bytes) {
        sizes.push_back(bytes.size());
    });
    transports.client.send(transports.address, std::string(peer::max_datagram_bytes + 1, 'x'));
    asio::ip::udp::socket raw(transports.context, asio::ip::udp::v4());
    const asio::ip::udp::endpoint to(asio::ip::make_address(transports.address.address),
                                     transports.address.port);
    raw.send_to(asio::buffer(std::string(9000, 'x')), to);
    transports.client.send(transports.address, std::string(peer::max_datagram_bytes, 'x'));
    transports.run_until([&] { return !sizes.empty(); });
    cr_assert_eq(sizes.size(), 1);
    cr_assert_eq(sizes.front(), peer::max_datagram_bytes);
}
