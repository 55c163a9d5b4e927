/// Relayed responses: early ones, ones without a length, truncated ones, and how long the
/// connection is kept afterwards.
#include "test/http/loopback.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

http::request post(std::string body) {
    http::request message;
    message.method = "POST";
    message.target = "/a";
    message.body = std::move(body);
    return message;
}

struct answer_row {
    const char* name;
    const char* text;
    bool whole;  ///< Whether the body has a regular end.
    const char* body;
};
const answer_row rows[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true, "body"},
    {"length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", false, "body"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true,
     "body"},
    {"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false,
     "body"},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nbody", true, "body"},
};

runtime::task<void> check(ferryroad::test::loopback& loop, const answer_row& row) {
    ferryroad::test::scripted_server server(loop, {{{row.text}, true}});
    http::client client(loop.scheduler, http::client_limits{});
    http::request message = post("");
    http::relay_options options;
    options.limit = 2s;
    auto stream = co_await client.relay(server.address(), std::move(message), std::move(options));
    cr_assert(stream.has_value(), "%s", row.name);
    std::string body;
    bool ended = false;
    bool failed = false;
    while (!ended && !failed) {
        auto bytes = co_await (*stream)->next(1s);
        failed = bytes.has_error();
        ended = !failed && !*bytes;
        if (!failed && !ended) {
            body += **bytes;
        }
    }
    cr_assert_eq(ended, row.whole, "%s", row.name);
    cr_assert(body == row.body, "%s", row.name);
}

/// A server that responds with 503 before it has read the request, and then reads nothing.
runtime::task<void> refuse_early(boost::asio::ip::tcp::acceptor& acceptor) {
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    co_await socket.write("HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno");
    boost::asio::steady_timer never(acceptor.get_executor());
    never.expires_after(10s);
    co_await never.async_wait(boost::asio::use_awaitable);
}

runtime::task<void> send_much(ferryroad::test::loopback& loop) {
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    loop.scheduler.spawn("early", refuse_early(acceptor));
    http::client client(loop.scheduler, http::client_limits{});
    http::request message = post(std::string(std::size_t{32} * 1024 * 1024, 'x'));
    http::relay_options options;
    options.limit = 5s;
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    auto stream = co_await client.relay(address, std::move(message), std::move(options));
    cr_assert(stream.has_value());
    cr_assert_eq((*stream)->status(), 503);
    auto bytes = co_await (*stream)->next(1s);
    cr_assert(bytes.has_value() && *bytes == "no");
}

/// How a server sees the end of a stream that its client gave up.
struct given_up_stream {
    bool sends_more = false;     ///< The server sends more than the client reads.
    bool notices_close = false;  ///< The server closes the connection once the client has.
    bool was_reset = true;       ///< The server saw a reset before anything else.
    int ended_calls = 0;         ///< Calls of `relay_options::on_ended`.
};

/// Gives up a stream after its first part.
runtime::task<void> give_up_stream(ferryroad::test::loopback& loop, given_up_stream& end) {
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    std::optional<http::client> client(std::in_place, loop.scheduler, http::client_limits{});
    std::unique_ptr<http::byte_stream> stream;
    bool part_read = false;
    loop.scheduler.spawn(
        "caller",
        [](http::client& by, base::endpoint to, std::unique_ptr<http::byte_stream>& opened,
           bool& was_read, int& ended_calls) -> runtime::task<void> {
            http::request message;
            http::relay_options options;
            options.limit = 5s;
            options.on_ended = [&ended_calls] { ++ended_calls; };
            auto answer = co_await by.relay(to, std::move(message), std::move(options));
            cr_assert(static_cast<bool>(answer));
            opened = std::move(*answer);
            co_await opened->next(5s);
            was_read = true;
        }(*client, address, stream, part_read, end.ended_calls));
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    co_await socket.read_until("\r\n\r\n");
    co_await socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    co_await loop.until([&part_read] { return part_read; });
    if (end.sends_more) {
        co_await socket.write("4\r\nmore\r\n");
        co_await loop.scheduler.sleep_for(20ms);
    }
    stream.reset();
    co_await socket.read_to_close();
    end.was_reset = socket.was_reset();
    if (end.notices_close) {
        socket.close();
        co_await loop.until([&end] { return end.ended_calls > 0; });
    } else {
        co_await loop.scheduler.sleep_for(400ms);
    }
}

/// Cancels a request that its server has read and not answered.
runtime::task<void> cancel_unanswered(ferryroad::test::loopback& loop, given_up_stream& end) {
    using boost::asio::experimental::awaitable_operators::operator||;
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    http::client client(loop.scheduler, http::client_limits{});
    bool is_read = false;
    loop.scheduler.spawn("caller",
                         [](http::client& by, base::endpoint to, ferryroad::test::loopback& at,
                            const bool& arrived, int& ended_calls) -> runtime::task<void> {
                             http::request message;
                             http::relay_options options;
                             options.limit = 5s;
                             options.on_ended = [&ended_calls] { ++ended_calls; };
                             auto answer = by.relay(to, std::move(message), std::move(options));
                             co_await (std::move(answer) || at.until([&] { return arrived; }));
                         }(client, address, loop, is_read, end.ended_calls));
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    co_await socket.read_until("\r\n\r\n");
    is_read = true;
    co_await socket.read_to_close();
    end.was_reset = socket.was_reset();
    socket.close();
    co_await loop.until([&end] { return end.ended_calls > 0; });
}

/// Sends a request to a server that never answers, and gives it up.
/// @param relayed whether as a relayed request that is cancelled, or as one that times out.
runtime::task<void> give_up(ferryroad::test::loopback& loop, bool relayed, bool& was_reset) {
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    http::client client(loop.scheduler, http::client_limits{});
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    http::request message = post("order");
    if (relayed) {
        http::relay_options options;
        options.limit = 50ms;
        co_await client.relay(address, std::move(message), std::move(options));
    } else {
        co_await client.send(address, std::move(message), 50ms, http::resend::forbidden);
    }
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    co_await socket.read_to_close();
    was_reset = socket.was_reset();
}

/// Two exchanges in a row. Checks how many connections the server accepted.
runtime::task<void> send_two(ferryroad::test::loopback& loop, const char* header,
                             std::size_t connections) {
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + std::string(header) + "\r\n";
    ferryroad::test::scripted_server server(loop, {{{answer, answer}, false}, {{answer}, false}});
    http::client client(loop.scheduler, http::client_limits{});
    for (int index = 0; index < 2; ++index) {
        http::request message = post("");
        http::relay_options options;
        options.limit = 2s;
        auto stream =
            co_await client.relay(server.address(), std::move(message), std::move(options));
        cr_assert(stream.has_value());
        auto bytes = co_await (*stream)->next(1s);
        cr_assert(bytes.has_value() && !*bytes);
    }
    cr_assert_eq(server.connections(), connections, "%s", header);
}

/// A request with a callback before it is sent.
/// @param call_count counts the calls.
runtime::task<void> check_callback(ferryroad::test::loopback& loop, bool still_to_be_sent,
                                   int& call_count) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ferryroad::test::scripted_server server(loop, {{{answer}, false}});
    http::client client(loop.scheduler, http::client_limits{});
    http::request message = post("");
    http::relay_options options;
    options.limit = 2s;
    options.last_look = [still_to_be_sent, &call_count](http::header_list&) {
        ++call_count;
        return still_to_be_sent;
    };
    auto stream = co_await client.relay(server.address(), std::move(message), std::move(options));
    cr_assert_eq(stream.has_value(), still_to_be_sent);
    co_await loop.until([&server] { return server.connections() == 1; });
    cr_assert_eq(server.requests(), still_to_be_sent ? 1 : 0);
    if (!still_to_be_sent) {
        cr_assert(stream.error().code == http::error_code::withheld);
        cr_assert_not(client.has_idle_connection(server.address()));
    }
}

/// As above, at an address where nothing listens.
runtime::task<void> check_callback_without_connection(ferryroad::test::loopback& loop,
                                                      int& call_count) {
    boost::asio::ip::tcp::acceptor closed(loop.context,
                                          {boost::asio::ip::make_address("127.0.0.1"), 0});
    const base::endpoint address{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    http::client client(loop.scheduler, http::client_limits{});
    http::request message = post("");
    http::relay_options options;
    options.limit = 2s;
    options.last_look = [&call_count](http::header_list&) {
        ++call_count;
        return true;
    };
    auto stream = co_await client.relay(address, std::move(message), std::move(options));
    cr_assert(stream.error().code == http::error_code::connect_failed);
}

/// Sends each request a response, followed by bytes that no request asked for.
struct surplus_server {
    explicit surplus_server(ferryroad::test::loopback& loop)
        : acceptor(loop.context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}

    runtime::task<void> accept(ferryroad::test::loopback& loop) {
        for (;;) {
            auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
            ++connections;
            loop.scheduler.spawn("connection",
                                 serve(ferryroad::test::raw_socket(std::move(socket)), loop));
        }
    }
    runtime::task<void> serve(ferryroad::test::raw_socket socket, ferryroad::test::loopback& loop) {
        for (;;) {
            const std::string request = co_await socket.read_until("\r\n\r\n");
            if (request.empty()) {
                co_return;
            }
            std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
            if (late) {
                co_await socket.write(std::move(bytes));
                co_await loop.until([this] { return read > sent; });
                bytes.clear();
            }
            bytes += behind;
            co_await socket.write(std::move(bytes));
            ++sent;
        }
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::string behind;
    bool late = false;  ///< The surplus bytes are sent only once the response was read.
    std::size_t connections = 0;
    std::size_t read = 0;  ///< Responses that the client has read.
    std::size_t sent = 0;  ///< Responses sent with what follows them.
};

runtime::task<void> check_bytes_behind(ferryroad::test::loopback& loop, surplus_server& server) {
    loop.scheduler.spawn("server", server.accept(loop));
    http::client client(loop.scheduler, http::client_limits{});
    const base::endpoint address{"127.0.0.1", server.acceptor.local_endpoint().port()};
    for (std::size_t request = 1; request <= 3; ++request) {
        http::request message = post("");
        http::relay_options options;
        options.limit = 2s;
        auto stream = co_await client.relay(address, std::move(message), std::move(options));
        cr_assert(stream.has_value(), "%s", server.behind.c_str());
        cr_assert_eq((*stream)->status(), 200, "%s", server.behind.c_str());
        auto bytes = co_await (*stream)->next(1s);
        cr_assert(bytes.has_value() && *bytes == "body", "%s", server.behind.c_str());
        auto end = co_await (*stream)->next(1s);
        cr_assert(end.has_value() && !*end, "%s", server.behind.c_str());
        ++server.read;
        co_await loop.until([&server] { return server.sent == server.read; });
        cr_assert_eq(server.connections, request, "%s", server.behind.c_str());
    }
}

}  // namespace

Test(client_relay, bytes_behind_a_response_belong_to_no_other_request) {
    for (const bool late : {false, true}) {
        for (const char* behind : {"id: 9\n\n", "4\r\nmore\r\n0\r\n\r\n",
                                   "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}) {
            ferryroad::test::loopback loop;
            surplus_server server(loop);
            server.behind = behind;
            server.late = late;
            cr_assert(loop.run([&] { return check_bytes_behind(loop, server); }));
        }
    }
}

Test(client_relay, the_callback_before_sending_is_called_once_the_connection_is_open) {
    for (const bool still_to_be_sent : {true, false}) {
        ferryroad::test::loopback loop;
        int call_count = 0;
        cr_assert(loop.run([&] { return check_callback(loop, still_to_be_sent, call_count); }));
        cr_assert_eq(call_count, 1);
    }
    ferryroad::test::loopback loop;
    int call_count = 0;
    cr_assert(loop.run([&] { return check_callback_without_connection(loop, call_count); }));
    cr_assert_eq(call_count, 0);
}

Test(client_relay, complete_and_truncated_bodies_are_distinguished) {
    for (const answer_row& row : rows) {
        ferryroad::test::loopback loop;
        cr_assert(loop.run([&] { return check(loop, row); }), "%s", row.name);
    }
}

Test(client_relay, a_response_may_arrive_before_the_request_is_sent) {
    ferryroad::test::loopback loop;
    cr_assert(loop.run([&] { return send_much(loop); }));
}

Test(client_relay, connections_are_kept_as_long_as_the_server_announces) {
    struct row {
        const char* header;
        std::size_t connections;
    };
    for (const row& each : {row{"", 1}, row{"Keep-Alive: timeout=10\r\n", 1},
                            row{"Keep-Alive: timeout=0\r\n", 2}, row{"Connection: close\r\n", 2}}) {
        ferryroad::test::loopback loop;
        cr_assert(loop.run([&] { return send_two(loop, each.header, each.connections); }));
    }
}

// Guards against servers that go on with a stream that was given up: some notice a reset only when
// they write, and a preempted stream doesn't.
// Also if the client has not read all that has arrived, which makes a plain close a reset.
Test(client_relay, a_stream_that_is_given_up_is_closed_regularly) {
    for (const bool sends_more : {false, true}) {
        ferryroad::test::loopback loop;
        given_up_stream end;
        end.sends_more = sends_more;
        cr_assert(loop.run([&] { return give_up_stream(loop, end); }));
        cr_expect_not(end.was_reset, "sends more: %d", static_cast<int>(sends_more));
    }
}

// Guards against a request that counts as ended although its server goes on with it.
Test(client_relay, a_stream_that_is_given_up_has_ended_once_the_server_closes_it) {
    for (const bool notices_close : {false, true}) {
        ferryroad::test::loopback loop;
        given_up_stream end;
        end.notices_close = notices_close;
        cr_assert(loop.run([&] { return give_up_stream(loop, end); }));
        cr_expect_eq(end.ended_calls, notices_close ? 1 : 0);
    }
}

// Guards against engines that are told to drain because a request that had not begun was given up
// there: a reset says nothing of its end.
Test(client_relay, a_request_that_is_given_up_unanswered_has_ended_once_the_server_closes_it) {
    ferryroad::test::loopback loop;
    given_up_stream end;
    cr_assert(loop.run([&] { return cancel_unanswered(loop, end); }));
    cr_expect_not(end.was_reset);
    cr_expect_eq(end.ended_calls, 1);
}

Test(client_relay, a_request_that_is_given_up_is_reset) {
    for (const bool relayed : {false, true}) {
        ferryroad::test::loopback loop;
        bool was_reset = false;
        cr_assert(loop.run([&] { return give_up(loop, relayed, was_reset); }));
        cr_expect(was_reset, "relayed %d", static_cast<int>(relayed));
    }
}
