/// What is written to a caller that reads nothing is held up by the connection, not kept: the
/// writer waits, and gives up after the limit for a write.
#include "test/http/loopback.hpp"

#include <cstddef>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
/// More than the kernel keeps for both ends of a connection.
constexpr std::size_t most_kept_bytes = std::size_t{16} * 1024 * 1024;
constexpr base::duration write_limit = 300ms;

/// A server whose answers never end.
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
        for (bool taken = true; taken;) {
            std::string piece(piece_bytes, 'x');
            const auto written = co_await writer.write(std::move(piece));
            taken = written.has_value();
            bytes_taken += taken ? piece_bytes : 0;
        }
        gave_up = true;
    }
    runtime::task<void> ask_and_read_nothing() {
        test::raw_socket socket(loop.context);
        socket.connect(server.listen(test::any_port));
        co_await socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        co_await loop.until([this] { return gave_up; });
    }

    test::loopback loop;
    http::server server;
    std::size_t bytes_taken = 0;
    bool gave_up = false;
};

}  // namespace

Test(slow_reader, a_caller_that_reads_nothing_holds_the_writer_up_and_is_given_up) {
    endless_server at;
    cr_assert(at.loop.run([&] { return at.ask_and_read_nothing(); }));
    cr_assert(at.gave_up);
    cr_assert_lt(at.bytes_taken, most_kept_bytes);
}
