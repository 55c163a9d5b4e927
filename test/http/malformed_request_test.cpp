/// Malformed or too large requests get an error response, and the server keeps serving others.
#include "ferryroad/http/json.hpp"
#include "test/http/loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;

namespace {

constexpr std::size_t header_limit = 1024;
constexpr std::size_t body_limit = 64;

/// @return a request whose body is the text of another one.
std::string smuggling(const std::string& framing) {
    return "POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n";
}

struct row {
    const char* name;
    std::string bytes;
    const char* status;  ///< Beginning of the response; empty: closed without one.
    const char* code;
};

const std::vector<row>& rows() {
    static const std::string long_value(2 * header_limit, 'x');
    static const std::vector<row> table = {
        {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
        {"unknown version", "GET / HTTP/3.9\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
        {"NUL in a header", std::string("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24), "HTTP/1.1 400",
         "malformed_request"},
        {"space in a header's name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", "HTTP/1.1 400",
         "malformed_request"},
        {"length is no number", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400",
         "malformed_request"},
        {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400",
         "malformed_request"},
        {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         "HTTP/1.1 400", "malformed_request"},
        {"length and chunks",
         "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400", "malformed_request"},
        {"coding: gzip", smuggling("Transfer-Encoding: gzip\r\n"), "HTTP/1.1 400",
         "malformed_request"},
        {"coding: identity", smuggling("Transfer-Encoding: identity\r\n"), "HTTP/1.1 400",
         "malformed_request"},
        {"coding: xchunked", smuggling("Transfer-Encoding: xchunked\r\n"), "HTTP/1.1 400",
         "malformed_request"},
        {"coding behind chunks: chunked, identity",
         smuggling("Transfer-Encoding: chunked, identity\r\n"), "HTTP/1.1 400",
         "malformed_request"},
        {"coding before chunks: gzip, chunked", smuggling("Transfer-Encoding: gzip, chunked\r\n"),
         "HTTP/1.1 400", "malformed_request"},
        {"chunks twice: chunked, chunked", smuggling("Transfer-Encoding: chunked, chunked\r\n"),
         "HTTP/1.1 400", "malformed_request"},
        {"two codings", smuggling("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"),
         "HTTP/1.1 400", "malformed_request"},
        {"bad chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         "HTTP/1.1 400", "malformed_request"},
        {"headers too large", "GET / HTTP/1.1\r\nA: " + long_value + "\r\n\r\n", "HTTP/1.1 431",
         "request_headers_too_large"},
        {"target too large", "GET /" + long_value + " HTTP/1.1\r\n\r\n", "HTTP/1.1 431",
         "request_headers_too_large"},
        {"endless headers", "GET / HTTP/1.1\r\nA: " + long_value, "HTTP/1.1 431",
         "request_headers_too_large"},
        {"body too large by length", "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
         "HTTP/1.1 413", "request_body_too_large"},
        {"body too large by chunks",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + long_value,
         "HTTP/1.1 413", "request_body_too_large"},
    };
    return table;
}

runtime::task<void> echo(http::request message, http::response_writer& writer) {
    http::response answer;
    answer.body = message.body;
    co_await writer.send(std::move(answer));
}

struct answers {
    bool ended = false;
    std::string answer;       ///< Response to the bytes of the row.
    std::string next_answer;  ///< Response to a valid request after them.
};

answers exchange(const std::string& bytes) {
    test::loopback loop;
    http::server_limits limits;
    limits.header_bytes = header_limit;
    limits.body_bytes = body_limit;
    http::server server(loop.scheduler, limits, echo);
    const base::endpoint address = server.listen(test::any_port);
    answers actual;
    const auto body = [&]() -> runtime::task<void> {
        test::raw_socket socket(loop.context);
        socket.connect(address);
        co_await socket.write(bytes);
        actual.answer = co_await socket.read_to_close();
        socket.close();
        test::raw_socket next(loop.context);
        next.connect(address);
        co_await next.write("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
        actual.next_answer = co_await next.read_until("ok");
    };
    actual.ended = loop.run(body);
    return actual;
}

}  // namespace

ParameterizedTestParameters(malformed_request, table) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, malformed_request, table) {
    const row& sent = rows()[*index];
    const auto [ended, answer, next_answer] = exchange(sent.bytes);
    cr_assert(ended, "didn't complete: %s", sent.name);
    cr_assert(answer.starts_with(sent.status), "%s, answered %s", sent.name, answer.c_str());
    const auto parsed = http::parse_json(answer.substr(answer.find("\r\n\r\n") + 4));
    cr_assert(parsed.has_value(), "%s, answered %s", sent.name, answer.c_str());
    http::object_reader error(parsed->at("error"));
    cr_assert(error.text("code") == sent.code, "%s", sent.name);
    cr_assert(error.text("type") == "invalid_request_error");
    cr_assert_not(error.text("message").empty());
    cr_assert(next_answer.starts_with("HTTP/1.1 200"), "%s", next_answer.c_str());
}
