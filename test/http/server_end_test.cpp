/// The end of a process whose server still has connections: the event loop destroys their
/// coroutines before the server is destroyed.
#include "ferryroad/http/server.hpp"
#include "ferryroad/runtime/asio_scheduler.hpp"
#include "ferryroad/runtime/event_loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace ferryroad;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

runtime::task<void> never_called(const http::request& /*message*/, http::response_writer& /*to*/) {
    co_return;
}

/// Destroys a server with connections that are idle, or in the middle of a request.
void end_with_connections() {
    runtime::event_loop loop;
    runtime::asio_scheduler scheduler(loop, 1);
    auto memory = std::make_shared<runtime::memory_budget>(runtime::memory_limits{});
    std::vector<tcp::socket> clients;
    {
        http::server server(scheduler, {}, never_called);
        server.set_memory_budget(memory);
        const base::endpoint address = server.listen({"127.0.0.1", 0});
        for (int count = 0; count < 10; ++count) {
            clients.emplace_back(loop).connect(
                {boost::asio::ip::make_address(address.address), address.port});
            const std::string part =
                count % 2 == 0 ? "" : "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx";
            boost::asio::write(clients.back(), boost::asio::buffer(part));
        }
        loop.run_for(50ms);
        cr_assert_gt(memory->counters().used_bytes, 0U);
        loop.finish();
        // What the sessions' memory held is gone when the server is destroyed.
        const std::vector<std::string> reused(64, std::string(400, '\0'));
    }
    cr_assert_eq(memory->counters().used_bytes, 0U);
}

}  // namespace

Test(server_end, connections_that_the_loop_has_destroyed_are_not_closed_again) {
    for (int round = 0; round < 10; ++round) {
        end_with_connections();
    }
}
