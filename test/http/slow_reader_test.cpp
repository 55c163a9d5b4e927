/// Backpressure from a client that doesn't read: the writer waits instead of buffering the response
/// without bound, and fails after the write timeout.
#include "test/http/loopback.hpp"

#include <cstddef>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
/// More than the kernel buffers for both ends of a connection.
constexpr std::size_t max_buffered_bytes = std::size_t{16} * 1024 * 1024;
constexpr base::duration write_limit = 300ms;

/// A server whose responses never end.
struct endless_server {
    endless_server()
        : server(loop.scheduler, limits(),
                 [this](const http::request&, auto& writer) { return answer(writer); }) {}
    static http::server_limits limits() {
        http::server_limits all;
        all.write = write_limit;
        return all;
    }
    runtime::task<void> answer(http::response_writer& writer) {
        http::header_list headers;
        co_await writer.begin_stream(200, std::move(headers));
        for (bool accepted = true; accepted;) {
            std::string piece(piece_bytes, 'x');
            const auto written = co_await writer.write(std::move(piece));
            accepted = written.has_value();
            bytes_written += accepted ? piece_bytes : 0;
        }
        write_failed = true;
    }
    runtime::task<void> send_request_and_never_read() {
        test::raw_socket socket(loop.context);
        socket.connect(server.listen(test::any_port));
        co_await socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        co_await loop.until([this] { return write_failed; });
    }

    test::loopback loop;
    http::server server;
    std::size_t bytes_written = 0;
    bool write_failed = false;
};

}  // namespace

Test(slow_reader, a_client_that_does_not_read_blocks_the_writer_until_the_write_timeout) {
    endless_server at;
    cr_assert(at.loop.run([&] { return at.send_request_and_never_read(); }));
    cr_assert(at.write_failed);
    cr_assert_lt(at.bytes_written, max_buffered_bytes);
}
