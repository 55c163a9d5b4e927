/// Streams to HTTP/1.0 callers end with their connection. Guards against callers that take a stream
/// for complete whose handler, process or write failed.
#include "test/http/loopback.hpp"

#include <optional>
#include <stdexcept>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

enum class ending { regular, dropped, failed, server_closed, not_read };

constexpr base::duration write_limit = 100ms;
constexpr std::size_t piece_bytes = std::size_t{256} * 1024;

struct fixture {
    explicit fixture(ending ends_in) : how(ends_in) {
        http::server_limits limits;
        limits.write = write_limit;
        server.emplace(
            loop.scheduler, limits,
            [this](const http::request&, http::response_writer& writer) { return stream(writer); });
    }
    runtime::task<void> stream(http::response_writer& writer) {
        http::header_list headers;
        co_await writer.begin_stream(200, std::move(headers));
        co_await writer.write("part");
        begun = true;
        if (how == ending::regular) {
            co_await writer.end_stream();
        } else if (how == ending::failed) {
            throw std::runtime_error("handler's fault");
        } else if (how == ending::server_closed) {
            co_await writer.wait_closed();
        } else if (how == ending::not_read) {
            co_await write_until_failure(writer);
        }
    }
    runtime::task<void> write_until_failure(http::response_writer& writer) {
        for (bool accepted = true; accepted;) {
            std::string piece(piece_bytes, 'x');
            const auto written = co_await writer.write(std::move(piece));
            accepted = written.has_value();
        }
        write_failed = true;
    }
    runtime::task<void> ask() {
        test::raw_socket socket(loop.context);
        socket.connect(server->listen(test::any_port));
        co_await socket.write("GET /a HTTP/1.0\r\n\r\n");
        co_await loop.until([this] { return begun; });
        if (how == ending::server_closed) {
            server.reset();
        }
        if (how == ending::not_read) {
            co_await loop.until([this] { return write_failed; });
        }
        received = co_await socket.read_to_close();
        was_reset = socket.was_reset();
    }

    test::loopback loop;
    ending how;
    std::optional<http::server> server;
    bool begun = false;
    bool write_failed = false;
    std::string received;
    bool was_reset = false;
};

}  // namespace

Test(unfinished_stream, ends_with_a_reset) {
    for (const ending how :
         {ending::dropped, ending::failed, ending::server_closed, ending::not_read}) {
        fixture at(how);
        cr_assert(at.loop.run([&] { return at.ask(); }), "%d", static_cast<int>(how));
        cr_expect(at.was_reset, "%d", static_cast<int>(how));
    }
}

Test(unfinished_stream, a_complete_one_ends_with_a_regular_close) {
    fixture at(ending::regular);
    cr_assert(at.loop.run([&] { return at.ask(); }));
    cr_assert_not(at.was_reset);
    cr_assert(at.received.ends_with("\r\n\r\npart"), "%s", at.received.c_str());
}
