/// Answers of servers in trouble: a status that is none, heads and trailers with invalid lines, and
/// a connection that is reset while the request is still being written. No client takes one for an
/// answer, and none waits for what can't follow.
#include "test/http/senders.hpp"

#include <array>
#include <optional>
#include <thread>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr base::duration long_limit = 3s;

/// @return an answer that is valid but for its status line.
std::string with_status(std::string_view status) {
    return "HTTP/1.1 " + std::string(status) + "\r\nId: id1\r\nContent-Length: 4\r\n\r\nbody";
}

/// @return an answer that is valid but for one line of its head.
std::string with_line(std::string_view line) {
    return "HTTP/1.1 200 OK\r\nId: id1\r\n" + std::string(line) +
           "\r\nContent-Length: 4\r\n\r\nbody";
}

/// @return an answer that is valid but for one line of its trailer.
std::string with_trailer(std::string_view line) {
    return "HTTP/1.1 200 OK\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
           std::string(line) + "\r\n\r\n";
}

const std::vector<std::string>& invalid_lines() {
    using namespace std::string_literals;
    static const std::vector<std::string> lines = {
        "A b: c",   "A\tb: c", "A\x01b: c", "A\x7f: c", "A\x80: c",          "A\0b: c"s, " A: c"s,
        ": c",      "A : c",   "A\t: c",    "A",        "A(b): c",           "A: b\0c"s, "A: b\rc",
        "\"A\": c", "A/b: c",  "A: \x01",   "A: b\x7f", "Content-Length : 9"};
    return lines;
}

const std::vector<std::string>& invalid_answers() {
    static const std::vector<std::string> answers = [] {
        std::vector<std::string> all;
        for (const char* status :
             {"000 OK", "001 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK",
              "1000 OK", "20 OK", "+20 OK", "-20 OK", "2x0 OK", " 200 OK", "OK", "200\x01OK"}) {
            all.push_back(with_status(status));
        }
        all.push_back("HTTP/1.1 100 Continue\r\n\r\n" + with_status("000 OK"));
        for (const std::string& line : invalid_lines()) {
            if (line != " A: c") {  // Continues the line before, which is allowed.
                all.push_back(with_line(line));
            }
            all.push_back(with_trailer(line));
        }
        all.push_back(with_line("Content-Length: 5"));
        for (const char* coding : {"gzip", "identity", "xchunked", "chunked, identity",
                                   "gzip, chunked", "chunked, chunked"}) {
            all.push_back("HTTP/1.1 200 OK\r\nId: id1\r\nTransfer-Encoding: " +
                          std::string(coding) + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        }
        return all;
    }();
    return answers;
}

runtime::task<void> check_answer(test::loopback& loop, const std::string& answer, test::sender by,
                                 const char* name) {
    test::scripted_server server(loop, {{{answer}, false}});
    http::client client(loop.scheduler, http::client_limits{});
    const auto fault = co_await by(client, server.address(), long_limit);
    const std::string line = answer.substr(0, answer.find("Content-Length"));
    cr_expect(fault.has_value(), "%s took for an answer: %s", name, line.c_str());
    cr_expect(!fault || fault->code == http::error_code::malformed, "%s: %s: %s", name,
              fault->message.c_str(), line.c_str());
}

runtime::task<void> check_all(test::loopback& loop, test::sender by, const char* name) {
    for (const std::string& answer : invalid_answers()) {
        co_await check_answer(loop, answer, by, name);
    }
}

/// A server in a thread of its own, so that it answers and resets the connection at any moment of
/// the client's writes: as soon as it has read some of the request, at once after the answer.
class resetting_server {
  public:
    explicit resetting_server(std::string answer)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, text = std::move(answer)] { serve(text); }) {}
    ~resetting_server() { m_thread.join(); }
    resetting_server(const resetting_server&) = delete;
    resetting_server& operator=(const resetting_server&) = delete;
    base::endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

  private:
    void serve(const std::string& answer) {
        boost::asio::ip::tcp::socket socket = m_acceptor.accept();
        std::array<char, 65536> block{};
        socket.read_some(boost::asio::buffer(block));
        boost::asio::write(socket, boost::asio::buffer(answer));
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Uploads to a server that answers and resets the connection meanwhile.
/// @param taken_for_whole whether the client took the answer, which has no length, for a whole one.
runtime::task<void> upload(test::loopback& loop, bool& taken_for_whole) {
    const resetting_server server("HTTP/1.1 200 OK\r\nId: id1\r\n\r\npart");
    http::client client(loop.scheduler, http::client_limits{});
    http::request message;
    message.method = "POST";
    message.body = std::string(std::size_t{4} * 1024 * 1024, 'x');
    const auto fault =
        co_await test::relay_request(client, server.address(), std::move(message), long_limit);
    taken_for_whole = !fault;
}

}  // namespace

Test(odd_answer, is_none_to_relay) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::relay, "relay"); }));
}

Test(odd_answer, is_none_to_send) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::send, "send"); }));
}

Test(odd_answer, is_none_to_fetch) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::fetch, "fetch"); }));
}

Test(odd_answer, is_none_to_open) {
    test::loopback loop;
    cr_assert(loop.run([&] { return check_all(loop, test::open, "open"); }));
}

Test(odd_answer, one_that_is_reset_while_the_request_is_written_is_not_whole) {
    constexpr int rounds = 30;
    int taken = 0;
    for (int round = 0; round < rounds; ++round) {
        test::loopback loop;
        bool taken_for_whole = false;
        cr_assert(loop.run([&] { return upload(loop, taken_for_whole); }));
        taken += taken_for_whole ? 1 : 0;
    }
    cr_assert_eq(taken, 0, "%d of %d", taken, rounds);
}
