/// Cancelled and late exchanges: an answer reaches its own request or none.
#include "test/http/loopback.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <optional>

using namespace ferryroad;
using namespace boost::asio::experimental::awaitable_operators;

namespace {

constexpr base::duration long_limit = std::chrono::seconds(20);
constexpr int requests = 60;

/// Answers each request with its own target, some of them late and in two parts.
runtime::task<void> answer_late(test::loopback& loop, http::request message,
                                http::response_writer& writer) {
    const auto delay = std::chrono::microseconds(loop.scheduler.random().below(4000));
    co_await loop.scheduler.sleep_for(delay);
    co_await writer.begin_stream(200, {});
    co_await writer.write(message.target);
    co_await loop.scheduler.sleep_for(delay);
    co_await writer.end_stream();
}

struct tally {
    int own = 0;
    int foreign = 0;
    int given_up = 0;  ///< Over the limit, on the way or while connecting.
    int cancelled = 0;
    int other = 0;
};

runtime::task<void> send_one(http::client& client, base::endpoint address, int number,
                             base::duration limit, tally& counts) {
    http::request message;
    message.target = "/" + std::to_string(number);
    const std::string target = message.target;
    const auto answer =
        co_await client.send(address, std::move(message), limit, http::resend::forbidden);
    if (answer) {
        ++(answer->body == target ? counts.own : counts.foreign);
        co_return;
    }
    const http::error_code code = answer.error().code;
    const bool given_up =
        code == http::error_code::timed_out || code == http::error_code::connect_failed;
    ++(given_up ? counts.given_up : counts.other);
}

/// Sends requests one after another over one pool; every third is given a limit that some
/// exceed and every third is cancelled on the way.
tally send_with_limits_and_cancellation() {
    test::loopback loop;
    const auto handle = [&](http::request message, http::response_writer& writer) {
        return answer_late(loop, std::move(message), writer);
    };
    http::server server(loop.scheduler, {}, handle);
    const base::endpoint address = server.listen(test::any_port);
    http::client client(loop.scheduler, {});
    tally counts;
    const auto body = [&]() -> runtime::task<void> {
        for (int number = 0; number < requests; ++number) {
            const auto wait = std::chrono::microseconds(loop.scheduler.random().below(4000));
            if (number % 3 == 0) {
                co_await send_one(client, address, number, wait, counts);
            } else if (number % 3 == 1) {
                const auto first =
                    co_await (send_one(client, address, number, long_limit, counts) ||
                              loop.scheduler.sleep_for(wait));
                counts.cancelled += first.index() == 1 ? 1 : 0;
            } else {
                co_await send_one(client, address, number, long_limit, counts);
            }
        }
    };
    cr_assert(loop.run(body));
    return counts;
}

/// One request that is given up on by time, with its answer written afterwards.
struct late_outcome {
    bool timed_out = false;
    std::string next_body;
    std::size_t connections = 0;
};

late_outcome answer_after_the_limit() {
    test::loopback loop;
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    http::client client(loop.scheduler, {});
    late_outcome came;
    const auto serve = [&]() -> runtime::task<void> {
        auto first = co_await acceptor.async_accept(boost::asio::use_awaitable);
        test::raw_socket late(std::move(first));
        co_await late.read_until("\r\n\r\n");
        co_await loop.until([&] { return came.timed_out; });
        ++came.connections;
        boost::system::error_code ignored;
        try {
            co_await late.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        } catch (const boost::system::system_error&) {
        }
        auto second = co_await acceptor.async_accept(boost::asio::use_awaitable);
        ++came.connections;
        test::raw_socket next(std::move(second));
        co_await next.read_until("\r\n\r\n");
        co_await next.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    };
    const auto body = [&]() -> runtime::task<void> {
        loop.scheduler.spawn("server", serve());
        http::request message;
        const auto answer = co_await client.send(
            address, std::move(message), std::chrono::milliseconds(20), http::resend::allowed);
        came.timed_out = !answer && answer.error().code == http::error_code::timed_out;
        http::request next;
        const auto next_answer =
            co_await client.send(address, std::move(next), long_limit, http::resend::allowed);
        came.next_body = next_answer ? next_answer->body : next_answer.error().message;
    };
    cr_assert(loop.run(body));
    return came;
}

/// A server answers twice to one request: the second answer is nobody's.
std::string after_an_unasked_answer() {
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    test::loopback loop;
    test::scripted_server server(loop, {{{first + first}, false}, {{second}, false}});
    http::client client(loop.scheduler, {});
    std::string body_text;
    const auto body = [&]() -> runtime::task<void> {
        for (int turn = 0; turn < 2; ++turn) {
            http::request message;
            const auto answer = co_await client.send(server.address(), std::move(message),
                                                     long_limit, http::resend::forbidden);
            body_text = answer ? answer->body : answer.error().message;
        }
    };
    cr_assert(loop.run(body));
    return body_text;
}

}  // namespace

Test(cancel, no_answer_reaches_another_request) {
    const tally counts = send_with_limits_and_cancellation();
    cr_assert_eq(counts.foreign, 0);
    cr_assert_eq(counts.other, 0, "%d requests failed otherwise", counts.other);
    cr_assert_eq(counts.own + counts.given_up + counts.cancelled, requests);
    cr_assert_geq(counts.own, requests / 3);
}

Test(cancel, late_answer_dies_with_its_connection) {
    const late_outcome came = answer_after_the_limit();
    cr_assert(came.timed_out);
    cr_assert(came.next_body == "own", "%s", came.next_body.c_str());
    cr_assert_eq(came.connections, 2U);
}

Test(cancel, unasked_answer_is_not_taken_for_the_next) {
    const std::string body = after_an_unasked_answer();
    cr_assert(body == "second", "%s", body.c_str());
}
