/// Servers that send bytes without end, in a head or in its place, in the framing of a body, or in
/// interim responses. Guards against a client that keeps them, or reads them until its deadline: it
/// gives the answer up as soon as it can't be one.
#include "test/http/senders.hpp"

#include <optional>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr base::duration long_limit = 20s;
constexpr std::size_t sent_bytes = std::size_t{4} * 1024 * 1024;  ///< Enough for every limit.

/// What a server sends: `start`, then `part` over and over.
struct endless_answer {
    const char* name;
    std::string start;
    std::string part;
};

const std::vector<endless_answer>& endless_answers() {
    static const std::string head = "HTTP/1.1 200 OK\r\nId: id1\r\n";
    static const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    static const std::vector<endless_answer> all = {
        {"no protocol", "", "x"},
        {"a status line", "HTTP/1.1 200 ", "x"},
        {"a line of the head", head + "A: ", "x"},
        {"lines of the head", head, "A: b\r\n"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"the size of a chunk", chunked, "0"},
        {"the extension of a chunk", chunked + "5;", "x"},
        {"a line of the trailer", chunked + "0\r\nA: ", "x"},
        {"lines of the trailer", chunked + "0\r\n", "A: b\r\n"},
    };
    return all;
}

std::string text_of(const endless_answer& answer) {
    std::string text = answer.start;
    while (text.size() < sent_bytes) {
        text += answer.part;
    }
    return text;
}

runtime::task<void> check_all(test::loopback& loop, test::sender by) {
    for (const endless_answer& answer : endless_answers()) {
        test::scripted_server server(loop, {{{text_of(answer)}, false}});
        http::client client(loop.scheduler, http::client_limits{});
        const auto fault = co_await by(client, server.address(), long_limit);
        const bool given_up = fault && (fault->code == http::error_code::malformed ||
                                        fault->code == http::error_code::too_large);
        cr_expect(given_up, "%s: %s", answer.name,
                  fault ? fault->message.c_str() : "taken for an answer");
    }
}

runtime::task<void> fetch_large(test::loopback& loop, std::optional<http::error>& fault) {
    const std::string body(std::size_t{64} * 1024, 'x');
    test::scripted_server server(
        loop, {{{"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + body}, false}});
    http::client client(loop.scheduler, http::client_limits{});
    http::request message;
    http::fetch_options options{long_limit, long_limit, long_limit};
    options.body_bytes = body.size() - 1;
    const base::endpoint address = server.address();
    const auto answer = co_await client.fetch(address, std::move(message), std::move(options),
                                              http::resend::forbidden);
    fault = answer ? std::nullopt : std::optional(answer.error());
}

}  // namespace

Test(endless_answer, is_given_up_by_relay) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::relay); }));
}

Test(endless_answer, is_given_up_by_send) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::send); }));
}

Test(endless_answer, is_given_up_by_fetch) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::fetch); }));
}

Test(endless_answer, is_given_up_by_open) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::open); }));
}

Test(endless_answer, a_call_has_a_size_limit_of_its_own) {
    test::loopback loop;
    std::optional<http::error> fault;
    cr_assert(loop.run([&] { return fetch_large(loop, fault); }));
    cr_assert(fault && fault->code == http::error_code::too_large);
}
