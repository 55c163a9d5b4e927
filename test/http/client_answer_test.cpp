/// Result of a client for each kind of response: complete, truncated, malformed, late.
#include "test/http/loopback.hpp"

#include <optional>

using namespace ferryroad;

namespace {

constexpr base::duration long_limit = std::chrono::seconds(20);
constexpr base::duration short_limit = std::chrono::milliseconds(50);
constexpr std::size_t body_limit = 100;

struct row {
    const char* name;
    test::script script;
    std::optional<http::error_code> fault;
    const char* body;  ///< Expected if there is no error.
    base::duration limit = long_limit;
};

test::script one_answer(std::string answer) {
    return {{std::move(answer)}, true};
}

/// More bytes than any limit on a head or an answer in these tests.
constexpr std::size_t endless_bytes = std::size_t{1} << 20;
const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(std::string_view text) {
    std::string all;
    while (all.size() < endless_bytes) {
        all += text;
    }
    return all;
}

const std::vector<row>& rows() {
    using code = http::error_code;
    static const std::vector<row> table = {
        {"with length", one_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), {}, "ok"},
        {"chunked",
         one_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
         {},
         "ok"},
        {"after an interim answer",
         one_answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
         {},
         "ok"},
        {"no content", one_answer("HTTP/1.1 204 No Content\r\n\r\n"), {}, ""},
        {"nothing", one_answer(""), code::connection_lost, ""},
        {"cut in the headers", one_answer("HTTP/1.1 200 OK\r\nContent-Le"), code::connection_lost,
         ""},
        {"cut in the body", one_answer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
         code::connection_lost, ""},
        {"cut in a chunk",
         one_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"),
         code::connection_lost, ""},
        {"cut before the last chunk",
         one_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
         code::connection_lost, ""},
        {"no length", one_answer("HTTP/1.1 200 OK\r\n\r\nok"), code::malformed, ""},
        {"HTTP/1.0 without length", one_answer("HTTP/1.0 200 OK\r\n\r\nok"), code::malformed, ""},
        {"not HTTP", one_answer("nonsense\r\n\r\n"), code::malformed, ""},
        {"body over the limit", one_answer("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"),
         code::too_large, ""},
        {"first line without end", one_answer(std::string(endless_bytes, 'a')), code::malformed,
         ""},
        {"head without end", one_answer("HTTP/1.1 200 OK\r\n" + repeated("X-A: b\r\n")),
         code::too_large, ""},
        {"header line without end",
         one_answer("HTTP/1.1 200 OK\r\nX-A: " + std::string(endless_bytes, 'b')), code::too_large,
         ""},
        {"chunk size without end", one_answer(chunked_head + std::string(endless_bytes, '0')),
         code::too_large, ""},
        {"chunk extension without end",
         one_answer(chunked_head + "1;a=" + std::string(endless_bytes, 'b')), code::too_large, ""},
        {"trailer without end", one_answer(chunked_head + "0\r\n" + repeated("X-A: b\r\n")),
         code::too_large, ""},
        {"chunks without end", one_answer(chunked_head + repeated("1\r\na\r\n")), code::too_large,
         ""},
        {"silence", {{""}, false}, code::timed_out, "", short_limit},
        {"silence in the body",
         {{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"}, false},
         code::timed_out,
         "",
         short_limit},
    };
    return table;
}

struct outcome {
    bool ended = false;
    std::optional<http::error> fault;
    std::string body;
    std::size_t requests = 0;
};

http::client_limits small_limits() {
    http::client_limits limits;
    limits.body_bytes = body_limit;
    return limits;
}

outcome send(const row& sent) {
    test::loopback loop;
    test::scripted_server server(loop, {sent.script});
    http::client client(loop.scheduler, small_limits());
    outcome actual;
    const auto body = [&]() -> runtime::task<void> {
        http::request message;
        const auto answer = co_await client.send(server.address(), std::move(message), sent.limit,
                                                 http::resend::allowed);
        if (answer) {
            actual.body = answer->body;
        } else {
            actual.fault = answer.error();
        }
    };
    actual.ended = loop.run(body);
    actual.requests = server.requests();
    return actual;
}

std::optional<http::error> send_to_closed_port() {
    test::loopback loop;
    boost::asio::ip::tcp::acceptor bound(loop.context);
    bound.open(boost::asio::ip::tcp::v4());
    bound.bind({boost::asio::ip::make_address("127.0.0.1"), 0});  // Bound, not listening.
    const base::endpoint address{"127.0.0.1", bound.local_endpoint().port()};
    http::client client(loop.scheduler, {});
    std::optional<http::error> fault;
    const auto body = [&]() -> runtime::task<void> {
        http::request message;
        const auto answer =
            co_await client.send(address, std::move(message), long_limit, http::resend::allowed);
        if (!answer) {
            fault = answer.error();
        }
    };
    cr_assert(loop.run(body));
    return fault;
}

/// Outcome of two requests on one pooled connection that the server closes upon the second.
struct resend_outcome {
    bool first = false;
    std::optional<http::error> second_fault;
    std::size_t connections = 0;
    std::size_t requests = 0;
};

resend_outcome send_twice(http::resend again, const std::string& second_answer) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    test::loopback loop;
    test::scripted_server server(loop, {{{whole, second_answer}, true}, {{whole}, true}});
    http::client client(loop.scheduler, {});
    resend_outcome actual;
    const auto body = [&]() -> runtime::task<void> {
        http::request first;
        const auto first_answer =
            co_await client.send(server.address(), std::move(first), long_limit, again);
        actual.first = first_answer.has_value();
        http::request second;
        const auto answer =
            co_await client.send(server.address(), std::move(second), long_limit, again);
        if (!answer) {
            actual.second_fault = answer.error();
        }
    };
    cr_assert(loop.run(body));
    actual.connections = server.connections();
    actual.requests = server.requests();
    return actual;
}

}  // namespace

ParameterizedTestParameters(client_answer, table) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, client_answer, table) {
    const row& sent = rows()[*index];
    const outcome actual = send(sent);
    cr_assert(actual.ended, "didn't complete: %s", sent.name);
    cr_assert_eq(actual.fault.has_value(), sent.fault.has_value(), "%s, fault %s", sent.name,
                 actual.fault ? actual.fault->message.c_str() : "none");
    if (sent.fault) {
        cr_assert(actual.fault->code == *sent.fault, "%s, fault %s", sent.name,
                  actual.fault->message.c_str());
    }
    cr_assert(actual.body == sent.body, "%s, body %s", sent.name, actual.body.c_str());
    cr_assert_eq(actual.requests, 1U, "a request on a new connection isn't resent: %s", sent.name);
}

Test(client_answer, refused_connection_sends_nothing) {
    const auto fault = send_to_closed_port();
    cr_assert(fault.has_value());
    cr_assert(fault->code == http::error_code::connect_failed);
}

Test(client_answer, closed_pooled_connection_is_replaced_if_resending_is_allowed) {
    const resend_outcome actual = send_twice(http::resend::allowed, "");
    cr_assert(actual.first);
    cr_assert_not(actual.second_fault.has_value());
    cr_assert_eq(actual.connections, 2U);
    cr_assert_eq(actual.requests, 3U);
}

Test(client_answer, closed_pooled_connection_is_an_error_if_resending_is_forbidden) {
    const resend_outcome actual = send_twice(http::resend::forbidden, "");
    cr_assert(actual.first);
    cr_assert(actual.second_fault.has_value());
    cr_assert(actual.second_fault->code == http::error_code::connection_lost);
    cr_assert_eq(actual.requests, 2U);
}

Test(client_answer, request_is_not_resent_once_a_response_has_started) {
    const resend_outcome actual = send_twice(http::resend::allowed, "HTTP/1.1 2");
    cr_assert(actual.second_fault.has_value());
    cr_assert(actual.second_fault->code == http::error_code::connection_lost);
    cr_assert_eq(actual.requests, 2U);
}
