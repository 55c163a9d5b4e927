/// Streamed responses read line by line; a truncated or malformed body is never taken for a regular
/// end.
#include "test/http/loopback.hpp"

#include <optional>

using namespace ferryroad;

namespace {

constexpr base::duration long_limit = std::chrono::seconds(20);
constexpr std::size_t line_limit = 16;
const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct row {
    const char* name;
    std::string body;
    std::vector<std::string> lines;
    std::optional<http::error_code> fault;
    bool close_at_end = true;
    base::duration limit = long_limit;
};

const std::vector<row>& rows() {
    using code = http::error_code;
    static const std::vector<row> table = {
        {"two lines", "4\r\na\nb\n\r\n0\r\n\r\n", {"a", "b"}, {}},
        {"a line over chunks", "1\r\na\r\n2\r\nb\n\r\n0\r\n\r\n", {"ab"}, {}},
        {"carriage returns", "3\r\na\r\n\r\n0\r\n\r\n", {"a"}, {}},
        {"empty lines", "4\r\na\n\n\n\r\n0\r\n\r\n", {"a", "", ""}, {}},
        {"empty body", "0\r\n\r\n", {}, {}},
        {"cut after a line", "2\r\na\n\r\n", {"a"}, code::connection_lost},
        {"cut in a line", "3\r\na\nb\r\n", {"a"}, code::connection_lost},
        {"cut in a chunk", "9\r\na\nb", {"a"}, code::connection_lost},
        {"cut in the last chunk", "2\r\na\n\r\n0\r\n", {"a"}, code::connection_lost},
        {"half line at the end", "3\r\na\nb\r\n0\r\n\r\n", {"a"}, code::malformed},
        {"broken chunk", "2\r\na\n\r\nzz\r\n", {"a"}, code::malformed},
        {"line too long", "2\r\na\n\r\n14\r\naaaaaaaaaaaaaaaaaaaa\r\n", {"a"}, code::too_large},
        {"silence", "3\r\na\nb\r\n", {"a"}, code::timed_out, false, std::chrono::milliseconds(50)},
    };
    return table;
}

struct outcome {
    bool ended = false;
    std::vector<std::string> lines;
    std::optional<http::error> fault;
    std::optional<http::error> fault_again;  ///< Result of another read after the error.
};

outcome read_stream(const row& sent) {
    test::loopback loop;
    test::scripted_server server(loop, {{{head + sent.body}, sent.close_at_end}});
    http::client_limits limits;
    limits.line_bytes = line_limit;
    http::client client(loop.scheduler, limits);
    outcome actual;
    const auto body = [&]() -> runtime::task<void> {
        http::request message;
        const auto opened = co_await client.open(server.address(), std::move(message), long_limit,
                                                 http::resend::forbidden);
        cr_assert(opened.has_value());
        http::response_stream& stream = **opened;
        for (;;) {
            const auto line = co_await stream.next_line(sent.limit);
            if (!line) {
                actual.fault = line.error();
                const auto again = co_await stream.next_line(sent.limit);
                actual.fault_again =
                    again ? std::nullopt : std::optional<http::error>(again.error());
                co_return;
            }
            if (!*line) {
                co_return;
            }
            actual.lines.push_back(**line);
        }
    };
    actual.ended = loop.run(body);
    return actual;
}

/// Outcome of a stream that is read completely or dropped early, and of a request after it.
struct reuse_outcome {
    std::size_t connections = 0;
    std::string second_body;
};

reuse_outcome stream_then_send(bool drop_early) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    const std::string first = drop_early ? head + "2\r\na\n\r\n" : head + "2\r\na\n\r\n0\r\n\r\n";
    test::loopback loop;
    test::scripted_server server(loop, {{{first, whole}, false}, {{whole}, false}});
    http::client client(loop.scheduler, {});
    reuse_outcome actual;
    const auto body = [&]() -> runtime::task<void> {
        http::request message;
        auto opened = co_await client.open(server.address(), std::move(message), long_limit,
                                           http::resend::forbidden);
        cr_assert(opened.has_value());
        const auto line = co_await (*opened)->next_line(long_limit);
        cr_assert(line.has_value() && *line == "a");
        if (!drop_early) {
            const auto end = co_await (*opened)->next_line(long_limit);
            cr_assert(end.has_value() && !*end);
        }
        opened->reset();
        http::request second;
        const auto answer = co_await client.send(server.address(), std::move(second), long_limit,
                                                 http::resend::forbidden);
        cr_assert(answer.has_value());
        actual.second_body = answer->body;
    };
    cr_assert(loop.run(body));
    actual.connections = server.connections();
    return actual;
}

}  // namespace

ParameterizedTestParameters(stream, table) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, stream, table) {
    const row& sent = rows()[*index];
    const outcome actual = read_stream(sent);
    cr_assert(actual.ended, "didn't complete: %s", sent.name);
    cr_assert(actual.lines == sent.lines, "%s, %zu lines", sent.name, actual.lines.size());
    cr_assert_eq(actual.fault.has_value(), sent.fault.has_value(), "%s, fault %s", sent.name,
                 actual.fault ? actual.fault->message.c_str() : "none");
    if (sent.fault) {
        cr_assert(actual.fault->code == *sent.fault, "%s, fault %s", sent.name,
                  actual.fault->message.c_str());
        cr_assert(actual.fault_again.has_value(), "a later read doesn't report the error: %s",
                  sent.name);
    }
}

Test(stream, connection_is_reused_after_a_complete_response) {
    const reuse_outcome actual = stream_then_send(false);
    cr_assert_eq(actual.connections, 1U);
    cr_assert(actual.second_body == "second");
}

Test(stream, connection_is_closed_when_a_stream_is_dropped) {
    const reuse_outcome actual = stream_then_send(true);
    cr_assert_eq(actual.connections, 2U);
    cr_assert(actual.second_body == "second");
}
