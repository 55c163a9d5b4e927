/// Server side of a connection: reuse, pipelined requests, clients that close, streams, graceful
/// shutdown.
#include "test/http/loopback.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <optional>

using namespace ferryroad;
using namespace boost::asio::experimental::awaitable_operators;

namespace {

const std::string get_text = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server whose handler selects its behaviour by the request path.
struct fixture {
    test::loopback loop;
    http::server server;
    base::endpoint address;
    bool gate_open = false;       ///< Lets `/gated` and `/stream` continue.
    std::size_t seen_closed = 0;  ///< Handlers that saw the client close.
    std::optional<http::error> stream_fault;

    explicit fixture(http::server_limits limits = {})
        : server(loop.scheduler, limits,
                 [this](http::request message, http::response_writer& writer) {
                     return handle(std::move(message), writer);
                 }),
          address(server.listen(test::any_port)) {}

    runtime::task<void> handle(http::request message, http::response_writer& writer) {
        const std::string path(message.path());
        if (path == "/gated") {
            co_await gated(writer);
        } else if (path == "/stream") {
            co_await stream(writer);
        } else if (path == "/dropped") {
            co_await writer.begin_stream(200, {});
            co_await writer.write("part\n");
        } else if (path == "/abort") {
            writer.abort();
        } else if (path == "/throw") {
            throw std::runtime_error("handler's fault");
        } else if (path != "/silent") {
            http::response answer;
            answer.body = path + message.body.to_string();
            co_await writer.send(std::move(answer));
        }
    }
    runtime::task<void> wait_for_gate() {
        co_await loop.until([this] { return gate_open; });
    }
    runtime::task<void> gated(http::response_writer& writer) {
        const auto first = co_await (wait_for_gate() || writer.wait_closed());
        if (first.index() == 1) {
            ++seen_closed;
            co_return;
        }
        http::response answer;
        answer.body = "gated";
        co_await writer.send(std::move(answer));
    }
    runtime::task<void> stream(http::response_writer& writer) {
        co_await writer.begin_stream(200, {});
        co_await writer.write("first\n");
        co_await wait_for_gate();
        const auto last = co_await writer.write("last\n");
        if (!last) {
            stream_fault = last.error();
            co_return;
        }
        co_await writer.end_stream();
    }
    runtime::task<void> until_active(std::size_t count) {
        co_await loop.until([this, count] { return server.active_requests() == count; });
    }
};

/// @return all that the server sends in response to `bytes`, until it closes or has sent `end`.
std::string exchange_bytes(fixture& one, const std::string& bytes, const std::string& end) {
    std::string answer;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket socket(one.loop.context);
        socket.connect(one.address);
        co_await socket.write(bytes);
        answer = co_await socket.read_until(end);
    };
    cr_assert(one.loop.run(body), "didn't complete, %s", bytes.c_str());
    return answer;
}

struct exchange_row {
    const char* name;
    std::string bytes;
    std::string end;  ///< End of the response; empty: the server closes.
    std::string start;
    std::string contains;
};

const std::vector<exchange_row>& exchange_rows() {
    static const std::vector<exchange_row> table = {
        {"whole answer", get_text, "/a", "HTTP/1.1 200", "Content-Length: 2"},
        {"asked to close", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "", "HTTP/1.1 200",
         "Connection: close"},
        {"HTTP/1.0 closes", "GET /a HTTP/1.0\r\n\r\n", "", "HTTP/1.0 200", "/a"},
        {"HEAD has no body", "HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n", "", "HTTP/1.1 200",
         "Content-Length: 2"},
        {"chunked request",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n",
         "/abc", "HTTP/1.1 200", "Content-Length: 4"},
        {"two requests at once", get_text + "GET /b HTTP/1.1\r\n\r\n", "/b", "HTTP/1.1 200",
         "/aHTTP/1.1 200"},
        {"waits for 100", "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
         "\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", ""},
        {"handler throws", "GET /throw HTTP/1.1\r\n\r\n", "}}", "HTTP/1.1 500", "internal_error"},
        {"handler says nothing", "GET /silent HTTP/1.1\r\n\r\n", "}}", "HTTP/1.1 500",
         "internal_error"},
        {"stream dropped", "GET /dropped HTTP/1.1\r\n\r\n", "", "HTTP/1.1 200", "5\r\npart\n\r\n"},
        {"aborted", "GET /abort HTTP/1.1\r\n\r\n", "", "", ""},
        {"bytes after the last request",
         "POST /a HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nbc", "", "HTTP/1.1 200",
         "/ab"},
    };
    return table;
}

bool closes_mid_request_unanswered() {
    fixture one;
    bool quiet = false;
    const auto body = [&]() -> runtime::task<void> {
        {
            test::raw_socket socket(one.loop.context);
            socket.connect(one.address);
            co_await socket.write("POST /gated HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
        }
        test::raw_socket next(one.loop.context);
        next.connect(one.address);
        co_await next.write(get_text);
        co_await next.read_until("/a");
        quiet = one.server.active_requests() == 0;
    };
    return one.loop.run(body) && quiet;
}

/// A client closes while its request is handled, with or without another request pipelined.
/// @return the number of handlers that saw it.
std::size_t handlers_that_see_close(const std::string& pipelined) {
    fixture one;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket socket(one.loop.context);
        socket.connect(one.address);
        co_await socket.write("GET /gated HTTP/1.1\r\n\r\n" + pipelined);
        co_await one.until_active(1);
        socket.close();
        co_await one.until_active(0);
    };
    cr_assert(one.loop.run(body));
    return one.seen_closed;
}

std::string pipelined_behind_wait() {
    fixture one;
    std::string answer;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket socket(one.loop.context);
        socket.connect(one.address);
        co_await socket.write("GET /gated HTTP/1.1\r\n\r\n");
        co_await one.until_active(1);
        co_await socket.write(get_text);
        for (int turn = 0; turn < 3; ++turn) {  // The waiting handler reads the bytes.
            co_await one.loop.scheduler.sleep_for(std::chrono::milliseconds(1));
        }
        one.gate_open = true;
        answer = co_await socket.read_until("/a");
    };
    cr_assert(one.loop.run(body));
    return answer;
}

/// Outcome of a graceful shutdown with an idle connection, a request in progress and an open
/// stream.
struct drain_outcome {
    std::string idle;
    std::string gated;
    std::string stream;
    bool refused_new = false;
    bool drained_while_active = false;
    bool drained = false;
};

drain_outcome drain_under_load() {
    fixture one;
    drain_outcome actual;
    const auto drain = [&]() -> runtime::task<void> {
        co_await one.server.drain();
        actual.drained = true;
    };
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket idle(one.loop.context);
        idle.connect(one.address);
        co_await idle.write(get_text);
        co_await idle.read_until("/a");
        test::raw_socket gated(one.loop.context);
        gated.connect(one.address);
        co_await gated.write("GET /gated HTTP/1.1\r\n\r\n");
        test::raw_socket stream(one.loop.context);
        stream.connect(one.address);
        co_await stream.write("GET /stream HTTP/1.1\r\n\r\n");
        actual.stream = co_await stream.read_until("first\n\r\n");
        co_await one.until_active(2);
        one.loop.scheduler.spawn("drain", drain());
        actual.idle = co_await idle.read_to_close();
        actual.drained_while_active = actual.drained;
        test::raw_socket late(one.loop.context);
        try {
            late.connect(one.address);
        } catch (const boost::system::system_error&) {
            actual.refused_new = true;
        }
        one.gate_open = true;
        actual.gated = co_await gated.read_to_close();
        actual.stream += co_await stream.read_to_close();
        co_await one.loop.until([&] { return actual.drained; });
    };
    cr_assert(one.loop.run(body));
    return actual;
}

/// A connection is opened and a request sent right before a graceful shutdown.
/// @return the response.
std::string drain_with_request_on_its_way() {
    fixture one;
    std::string answer;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket socket(one.loop.context);
        socket.connect(one.address);
        co_await socket.write(get_text);  // Whether or not the server has accepted it.
        co_await one.server.drain();
        answer = co_await socket.read_to_close();
    };
    cr_assert(one.loop.run(body));
    return answer;
}

std::string over_the_connection_limit() {
    http::server_limits limits;
    limits.connections = 1;
    fixture one(limits);
    std::string answer;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket held(one.loop.context);
        held.connect(one.address);
        co_await held.write("GET /gated HTTP/1.1\r\nHost: x\r\n\r\n");
        co_await one.loop.until([&] { return one.server.active_requests() == 1; });
        test::raw_socket over(one.loop.context);
        over.connect(one.address);
        answer = co_await over.read_to_close();
    };
    cr_assert(one.loop.run(body));
    return answer;
}

std::optional<http::error> write_to_a_client_that_closed() {
    fixture one;
    const auto body = [&]() -> runtime::task<void> {
        {
            test::raw_socket socket(one.loop.context);
            socket.connect(one.address);
            co_await socket.write("GET /stream HTTP/1.1\r\n\r\n");
        }  // Closing with unread bytes of the response sends a reset.
        co_await one.until_active(1);
        co_await one.loop.scheduler.sleep_for(std::chrono::milliseconds(5));
        one.gate_open = true;
        co_await one.until_active(0);
    };
    cr_assert(one.loop.run(body));
    return one.stream_fault;
}

std::string idle_limit_answer() {
    http::server_limits limits;
    limits.idle = std::chrono::milliseconds(20);
    fixture one(limits);
    return exchange_bytes(one, "", "");
}

std::string slow_request_answer() {
    http::server_limits limits;
    limits.request_read = std::chrono::milliseconds(20);
    fixture one(limits);
    return exchange_bytes(one, "GET /a HT", "");
}

}  // namespace

ParameterizedTestParameters(server, exchanges) {
    return test::row_indexes(exchange_rows().size());
}

ParameterizedTest(std::size_t* index, server, exchanges) {
    const exchange_row& row = exchange_rows()[*index];
    fixture one;
    const std::string answer = exchange_bytes(one, row.bytes, row.end);
    cr_assert(answer.starts_with(row.start), "%s, %s", row.name, answer.c_str());
    cr_assert(answer.find(row.contains) != std::string::npos, "%s, %s", row.name, answer.c_str());
    cr_assert(answer.ends_with(row.end), "%s, %s", row.name, answer.c_str());
}

Test(server, head_answer_ends_with_its_headers) {
    fixture one;
    const std::string answer =
        exchange_bytes(one, "HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n", "");
    cr_assert(answer.ends_with("\r\n\r\n"), "%s", answer.c_str());
}

Test(server, truncated_request_reaches_no_handler) {
    cr_assert(closes_mid_request_unanswered());
}

Test(server, handler_sees_the_client_close) {
    cr_assert_eq(handlers_that_see_close(""), 1U);
}

Test(server, handler_sees_the_client_close_behind_a_pipelined_request) {
    cr_assert_eq(handlers_that_see_close(get_text), 1U);
}

Test(server, waiting_for_close_keeps_a_pipelined_request) {
    const std::string answer = pipelined_behind_wait();
    cr_assert(answer.find("gatedHTTP/1.1 200") != std::string::npos, "%s", answer.c_str());
    cr_assert(answer.ends_with("/a"), "%s", answer.c_str());
}

Test(server, drain_completes_active_responses_and_closes_idle_connections) {
    const drain_outcome actual = drain_under_load();
    cr_assert(actual.idle.empty());
    cr_assert(actual.refused_new);
    cr_assert_not(actual.drained_while_active);
    cr_assert(actual.gated.find("Connection: close") != std::string::npos, "%s",
              actual.gated.c_str());
    cr_assert(actual.gated.ends_with("gated"), "%s", actual.gated.c_str());
    cr_assert(actual.stream.ends_with("5\r\nlast\n\r\n0\r\n\r\n"), "%s", actual.stream.c_str());
    cr_assert(actual.drained);
}

Test(server, drain_answers_a_request_already_sent) {
    const std::string answer = drain_with_request_on_its_way();
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    cr_assert(answer.find("Connection: close") != std::string::npos, "%s", answer.c_str());
}

Test(server, too_many_connections_are_refused_with_503) {
    const std::string answer = over_the_connection_limit();
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert(answer.find("Retry-After") != std::string::npos, "%s", answer.c_str());
}

Test(server, stream_to_a_client_that_closed_is_an_error) {
    const auto fault = write_to_a_client_that_closed();
    cr_assert(fault.has_value());
    cr_assert(fault->code == http::error_code::connection_lost);
}

Test(server, idle_and_slow_connections_are_closed) {
    cr_assert(idle_limit_answer().empty());
    cr_assert(slow_request_answer().empty());
}
