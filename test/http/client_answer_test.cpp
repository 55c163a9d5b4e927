/// What a client makes of each answer a server may give, whole, cut, malformed, late.
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
    const char* body;  ///< Where there is no fault.
    base::duration limit = long_limit;
};

test::script one_answer(std::string answer) {
    return {{std::move(answer)}, true};
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
    outcome came;
    const auto body = [&]() -> runtime::task<void> {
        http::request message;
        const auto answer = co_await client.send(server.address(), std::move(message), sent.limit,
                                                 http::resend::allowed);
        if (answer) {
            came.body = answer->body;
        } else {
            came.fault = answer.error();
        }
    };
    came.ended = loop.run(body);
    came.requests = server.requests();
    return came;
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

/// Two requests on one pooled connection that the server closes upon the second.
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
    resend_outcome came;
    const auto body = [&]() -> runtime::task<void> {
        http::request first;
        const auto first_answer =
            co_await client.send(server.address(), std::move(first), long_limit, again);
        came.first = first_answer.has_value();
        http::request second;
        const auto answer =
            co_await client.send(server.address(), std::move(second), long_limit, again);
        if (!answer) {
            came.second_fault = answer.error();
        }
    };
    cr_assert(loop.run(body));
    came.connections = server.connections();
    came.requests = server.requests();
    return came;
}

}  // namespace

ParameterizedTestParameters(client_answer, table) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, client_answer, table) {
    const row& sent = rows()[*index];
    const outcome came = send(sent);
    cr_assert(came.ended, "no end: %s", sent.name);
    cr_assert_eq(came.fault.has_value(), sent.fault.has_value(), "%s, fault %s", sent.name,
                 came.fault ? came.fault->message.c_str() : "none");
    if (sent.fault) {
        cr_assert(came.fault->code == *sent.fault, "%s, fault %s", sent.name,
                  came.fault->message.c_str());
    }
    cr_assert(came.body == sent.body, "%s, body %s", sent.name, came.body.c_str());
    cr_assert_eq(came.requests, 1U, "a fresh connection's request isn't sent again: %s", sent.name);
}

Test(client_answer, refused_connection_sends_nothing) {
    const auto fault = send_to_closed_port();
    cr_assert(fault.has_value());
    cr_assert(fault->code == http::error_code::connect_failed);
}

Test(client_answer, dead_pooled_connection_is_replaced_where_allowed) {
    const resend_outcome came = send_twice(http::resend::allowed, "");
    cr_assert(came.first);
    cr_assert_not(came.second_fault.has_value());
    cr_assert_eq(came.connections, 2U);
    cr_assert_eq(came.requests, 3U);
}

Test(client_answer, dead_pooled_connection_is_lost_where_forbidden) {
    const resend_outcome came = send_twice(http::resend::forbidden, "");
    cr_assert(came.first);
    cr_assert(came.second_fault.has_value());
    cr_assert(came.second_fault->code == http::error_code::connection_lost);
    cr_assert_eq(came.requests, 2U);
}

Test(client_answer, no_second_sending_once_an_answer_began) {
    const resend_outcome came = send_twice(http::resend::allowed, "HTTP/1.1 2");
    cr_assert(came.second_fault.has_value());
    cr_assert(came.second_fault->code == http::error_code::connection_lost);
    cr_assert_eq(came.requests, 2U);
}
