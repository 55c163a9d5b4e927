/// A server that ends an answer at any byte, with a close or a reset: the client never takes a
/// truncated answer for a complete one, wherever in the head or the body it ends.
#include "test/http/loopback.hpp"

#include <optional>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr base::duration long_limit = 5s;

struct answer_row {
    const char* name;
    const char* method;
    std::string interim;
    std::string head;
    std::string body;
    bool ends_with_connection = false;
};
const answer_row rows[] = {
    {"length", "GET", "", "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 4\r\n\r\n", "body"},
    {"empty body", "GET", "", "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 0\r\n\r\n", ""},
    {"chunks", "GET", "", "HTTP/1.1 200 OK\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n",
     "3;x=1\r\nbod\r\n1\r\ny\r\n0\r\nA: b\r\n\r\n"},
    {"no chunk", "GET", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: id1\r\n\r\n",
     "0\r\n\r\n"},
    {"no length", "GET", "", "HTTP/1.1 200 OK\r\nId: id1\r\nConnection: close\r\n\r\n", "body",
     true},
    {"no content", "GET", "", "HTTP/1.1 204 No Content\r\nId: id1\r\n\r\n", ""},
    {"not modified", "GET", "", "HTTP/1.1 304 Not Modified\r\nId: id1\r\nContent-Length: 4\r\n\r\n",
     ""},
    {"to HEAD", "HEAD", "", "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 4\r\n\r\n", ""},
    {"interim answers", "GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: id1\r\nLink: a\r\n\r\n",
     "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 4\r\n\r\n", "body"},
};

std::string text_of(const answer_row& row) {
    return row.interim + row.head + row.body;
}

/// @return whether the first `sent` bytes, followed by a close or a reset, are a whole answer.
bool is_whole(const answer_row& row, std::size_t sent, bool reset) {
    if (!row.ends_with_connection) {
        return sent == text_of(row).size();
    }
    return !reset && sent >= row.interim.size() + row.head.size();
}

http::request request(const answer_row& row) {
    http::request message;
    message.method = row.method;
    message.target = "/a";
    return message;
}

/// Reads an answer. @return whether it was complete.
using reader = runtime::task<bool> (*)(http::client&, const base::endpoint&, const answer_row&);

runtime::task<bool> relay(http::client& client, const base::endpoint& address,
                          const answer_row& row) {
    http::request message = request(row);
    http::relay_options options;
    options.limit = long_limit;
    options.echoed_header = http::header{"Id", "id1"};
    auto stream = co_await client.relay(address, std::move(message), std::move(options));
    if (!stream) {
        co_return false;
    }
    for (;;) {
        auto bytes = co_await (*stream)->next(long_limit);
        if (!bytes) {
            co_return false;
        }
        if (!*bytes) {
            co_return true;
        }
    }
}

runtime::task<bool> send(http::client& client, const base::endpoint& address,
                         const answer_row& row) {
    http::request message = request(row);
    const auto answer =
        co_await client.send(address, std::move(message), long_limit, http::resend::allowed);
    co_return answer.has_value();
}

runtime::task<bool> fetch(http::client& client, const base::endpoint& address,
                          const answer_row& row) {
    http::request message = request(row);
    http::fetch_options options;
    options.first = long_limit;
    options.pause = long_limit;
    options.longest = long_limit;
    const auto answer = co_await client.fetch(address, std::move(message), std::move(options),
                                              http::resend::allowed);
    co_return answer.has_value();
}

runtime::task<bool> open(http::client& client, const base::endpoint& address,
                         const answer_row& row) {
    http::request message = request(row);
    auto stream =
        co_await client.open(address, std::move(message), long_limit, http::resend::allowed);
    if (!stream) {
        co_return false;
    }
    const auto rest = co_await (*stream)->read_rest(long_limit);
    co_return rest.has_value();
}

/// Reads the answer once for each position at which it may end.
/// @param without_length whether the reader accepts answers that end with their connection.
runtime::task<void> check(test::loopback& loop, const answer_row& row, bool reset, reader read,
                          bool without_length) {
    const std::string text = text_of(row);
    std::vector<test::script> scripts;
    for (std::size_t sent = 0; sent <= text.size(); ++sent) {
        scripts.push_back({{text.substr(0, sent)}, !reset, reset});
    }
    test::scripted_server server(loop, std::move(scripts));
    http::client client(loop.scheduler, http::client_limits{});
    const base::endpoint address = server.address();
    for (std::size_t sent = 0; sent <= text.size(); ++sent) {
        const bool acceptable = without_length || !row.ends_with_connection;
        const bool whole = acceptable && is_whole(row, sent, reset);
        const bool complete = co_await read(client, address, row);
        cr_assert_eq(complete, whole, "%s, %zu of %zu bytes, then a %s", row.name, sent,
                     text.size(), reset ? "reset" : "close");
    }
    cr_assert_eq(server.connections(), text.size() + 1);
}

void check_all(reader read, bool without_length) {
    for (const answer_row& row : rows) {
        for (const bool reset : {false, true}) {
            test::loopback loop;
            cr_assert(loop.run([&] { return check(loop, row, reset, read, without_length); }), "%s",
                      row.name);
        }
    }
}

}  // namespace

Test(truncated_answer, is_never_relayed_as_complete) {
    check_all(relay, true);
}

Test(truncated_answer, is_never_returned) {
    check_all(send, false);
}

Test(truncated_answer, is_never_fetched) {
    check_all(fetch, false);
}

Test(truncated_answer, is_never_read_to_a_regular_end) {
    check_all(open, false);
}
