/// Guards against responses that are delivered to the wrong request after an earlier exchange on a
/// pooled connection was cancelled or timed out.
#include "test/http/loopback.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <optional>

using namespace ferryroad;
using namespace boost::asio::experimental::awaitable_operators;

namespace {

constexpr base::duration long_limit = std::chrono::seconds(20);
constexpr int requests = 60;

/// Responds to each request with its own target after a random delay, in two parts.
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
    int matching = 0;
    int of_other_requests = 0;
    int past_deadline = 0;  ///< Timed out while connecting or waiting for the response.
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
        ++(answer->body == target ? counts.matching : counts.of_other_requests);
        co_return;
    }
    const http::error_code code = answer.error().code;
    const bool past_deadline =
        code == http::error_code::timed_out || code == http::error_code::connect_failed;
    ++(past_deadline ? counts.past_deadline : counts.other);
}

/// Sends requests one after another over one pool. One third has a timeout that some of them
/// exceed, one third is cancelled while in progress.
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

/// Outcome of a request that times out and whose response is written afterwards.
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
    late_outcome actual;
    const auto serve = [&]() -> runtime::task<void> {
        auto first = co_await acceptor.async_accept(boost::asio::use_awaitable);
        test::raw_socket late(std::move(first));
        co_await late.read_until("\r\n\r\n");
        co_await loop.until([&] { return actual.timed_out; });
        ++actual.connections;
        boost::system::error_code ignored;
        try {
            co_await late.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        } catch (const boost::system::system_error&) {
        }
        auto second = co_await acceptor.async_accept(boost::asio::use_awaitable);
        ++actual.connections;
        test::raw_socket next(std::move(second));
        co_await next.read_until("\r\n\r\n");
        co_await next.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    };
    const auto body = [&]() -> runtime::task<void> {
        loop.scheduler.spawn("server", serve());
        http::request message;
        const auto answer = co_await client.send(
            address, std::move(message), std::chrono::milliseconds(20), http::resend::allowed);
        actual.timed_out = !answer && answer.error().code == http::error_code::timed_out;
        http::request next;
        const auto next_answer =
            co_await client.send(address, std::move(next), long_limit, http::resend::allowed);
        actual.next_body = next_answer ? next_answer->body : next_answer.error().message;
    };
    cr_assert(loop.run(body));
    return actual;
}

/// A server sends two responses to one request. @return the body that the next request gets.
std::string body_after_unsolicited_response() {
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

Test(cancel, no_response_is_delivered_to_another_request) {
    const tally counts = send_with_limits_and_cancellation();
    cr_assert_eq(counts.of_other_requests, 0);
    cr_assert_eq(counts.other, 0, "%d requests failed otherwise", counts.other);
    cr_assert_eq(counts.matching + counts.past_deadline + counts.cancelled, requests);
    cr_assert_geq(counts.matching, requests / 3);
}

Test(cancel, late_response_is_discarded_with_its_connection) {
    const late_outcome actual = answer_after_the_limit();
    cr_assert(actual.timed_out);
    cr_assert(actual.next_body == "own", "%s", actual.next_body.c_str());
    cr_assert_eq(actual.connections, 2U);
}

Test(cancel, unsolicited_response_is_not_delivered_to_the_next_request) {
    const std::string body = body_after_unsolicited_response();
    cr_assert(body == "second", "%s", body.c_str());
}
