/// An answer with neither a length nor chunks ends with its connection. The operating system closes
/// the connections of a crashed engine regularly, too: such an answer is not whole.
#include "ferryroad/relay/engine_transport.hpp"
#include "ferryroad/runtime/task.hpp"
#include "test/http/loopback.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using ferryroad::test::loopback;

namespace {

const base::engine_name engine_name("e1");
const std::string unframed = "HTTP/1.1 200 OK\r\nId: id1\r\n\r\npart";
const std::string with_length = "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 4\r\n\r\npart";
const std::string with_chunks =
    "HTTP/1.1 200 OK\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";

/// An engine that answers the first connection and closes it, and accepts the others only.
class closing_engine {
  public:
    /// @param crashes stops listening before it closes the first connection.
    closing_engine(loopback& loop, std::string answer, bool crashes)
        : m_answer(std::move(answer)),
          m_crashes(crashes),
          m_acceptor(loop.context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_address{"127.0.0.1", m_acceptor.local_endpoint().port()} {
        loop.scheduler.spawn("engine", serve());
    }
    const base::endpoint& address() const { return m_address; }
    std::size_t connections() const { return m_connections; }

  private:
    runtime::task<void> serve() {
        ferryroad::test::raw_socket first(
            co_await m_acceptor.async_accept(boost::asio::use_awaitable));
        ++m_connections;
        co_await first.read_until("\r\n\r\n");
        co_await first.write(m_answer);
        if (m_crashes) {
            m_acceptor.close();
        }
        first.close();
        while (!m_crashes) {
            co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            ++m_connections;
        }
    }

    std::string m_answer;
    bool m_crashes;
    boost::asio::ip::tcp::acceptor m_acceptor;
    base::endpoint m_address;
    std::size_t m_connections = 0;
};

/// A router that knows one engine.
struct test_router {
    test_router(loopback& loop, const base::endpoint& engine_address)
        : direct(loop.scheduler, limits()),
          to_routers(loop.scheduler, limits()),
          watch(loop.scheduler, direct, registry, [](bool) {}),
          others(name, base::zone_name("z"), {}),
          transport(loop.scheduler, name, direct, to_routers, watch, others) {
        listed.name = engine_name;
        listed.address = engine_address;
        registry.put(listed);
    }
    static http::client_limits limits() {
        http::client_limits quick;
        quick.connect = 200ms;
        return quick;
    }

    base::router_name name{"a"};
    listed_engine listed;
    engine_registry registry;
    http::client direct;
    http::client to_routers;
    path_watcher watch;
    forwarding_routers others;
    engine_transport transport;
};

runtime::task<std::unique_ptr<http::byte_stream>> open_answer(test_router& router) {
    engine_target target{engine_name, router.listed.address};
    http::request message;
    message.target = "/x";
    message.headers.add("Id", "id1");
    http::relay_options options;
    options.limit = 2s;
    options.echoed_header = http::header{"Id", "id1"};
    auto answer = co_await router.transport.relay_directly(std::move(target), std::move(message),
                                                           std::move(options));
    cr_assert(answer.has_value());
    co_return std::move(*answer);
}

/// Reads an answer, of which "part" arrives in any case.
/// @return why it does not count as whole, or nothing if it does.
runtime::task<std::optional<http::error>> failure_of(http::byte_stream& answer) {
    std::string text;
    for (;;) {
        auto bytes = co_await answer.next(2s);
        if (!bytes || !*bytes) {
            cr_assert_str_eq(text.c_str(), "part");
            co_return bytes ? std::nullopt : std::optional(bytes.error());
        }
        text += **bytes;
    }
}

runtime::task<void> check_engine_still_listening(loopback& loop) {
    closing_engine engine(loop, unframed, false);
    test_router router(loop, engine.address());
    const auto answer = co_await open_answer(router);
    cr_assert(answer->ends_with_connection());
    const auto failure = co_await failure_of(*answer);
    cr_assert_not(failure.has_value());
    co_await loop.until([&] { return engine.connections() == 2; });
}

runtime::task<void> check_crashed_engine(loopback& loop) {
    closing_engine engine(loop, unframed, true);
    test_router router(loop, engine.address());
    const auto answer = co_await open_answer(router);
    const auto failure = co_await failure_of(*answer);
    cr_assert(failure.has_value(), "a part of an answer ended as whole");
    cr_assert(failure->code == http::error_code::connection_lost);
    cr_assert(router.watch.paths().has_failed(engine_name));
}

runtime::task<void> check_leaving_engine(loopback& loop) {
    closing_engine engine(loop, unframed, true);
    test_router router(loop, engine.address());
    const auto answer = co_await open_answer(router);
    router.listed.leaving = true;
    router.registry.put(router.listed);
    const auto failure = co_await failure_of(*answer);
    cr_assert_not(failure.has_value());
    cr_assert_not(router.watch.paths().has_failed(engine_name));
}

runtime::task<void> check_engine_gone(loopback& loop) {
    closing_engine engine(loop, unframed, true);
    test_router router(loop, engine.address());
    const auto answer = co_await open_answer(router);
    router.registry.remove(engine_name);
    const auto failure = co_await failure_of(*answer);
    cr_assert_not(failure.has_value());
}

runtime::task<void> check_framed(loopback& loop, const std::string& bytes) {
    closing_engine engine(loop, bytes, false);
    test_router router(loop, engine.address());
    const auto answer = co_await open_answer(router);
    cr_assert_not(answer->ends_with_connection());
    const auto failure = co_await failure_of(*answer);
    cr_assert_not(failure.has_value());
    co_await loop.scheduler.sleep_for(50ms);
    cr_assert_eq(engine.connections(), 1);
}

runtime::task<void> check_framed_answers(loopback& loop) {
    co_await check_framed(loop, with_length);
    co_await check_framed(loop, with_chunks);
}

void run(runtime::task<void> (*check)(loopback&)) {
    loopback loop;
    cr_assert(loop.run([&] { return check(loop); }));
}

}  // namespace

Test(unframed_answer, is_whole_if_its_engine_still_listens) {
    run(check_engine_still_listening);
}
// The part that had arrived was passed on as a whole answer.
Test(unframed_answer, of_a_crashed_engine_is_not_whole) {
    run(check_crashed_engine);
}
Test(unframed_answer, is_whole_if_its_engine_leaves) {
    run(check_leaving_engine);
}
Test(unframed_answer, is_whole_if_its_engine_is_no_longer_listed) {
    run(check_engine_gone);
}
Test(unframed_answer, is_the_only_kind_that_costs_a_connection_at_its_end) {
    run(check_framed_answers);
}
