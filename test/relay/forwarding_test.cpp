/// A request for an engine that a router cannot reach is passed on by another one, with its answer
/// unchanged; what failed, and where, is told apart.
#include "ferryroad/relay/engine_transport.hpp"
#include "ferryroad/relay/forwarding_server.hpp"
#include "ferryroad/runtime/task.hpp"
#include "test/http/loopback.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;
using ferryroad::test::loopback;
using ferryroad::test::scripted_server;

namespace {

const base::engine_name engine("e1");

http::client_limits quick_limits() {
    http::client_limits limits;
    limits.connect = 200ms;
    return limits;
}

/// @return an address of this machine that refuses connections.
base::endpoint refusing_address(loopback& loop) {
    boost::asio::ip::tcp::acceptor closed(loop.context,
                                          {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", closed.local_endpoint().port()};
}

/// A router that knows one engine, by the address where it reaches it.
struct test_router {
    test_router(loopback& loop, const std::string& own_name, const base::endpoint& engine_address)
        : name(own_name),
          direct(loop.scheduler, quick_limits()),
          to_routers(loop.scheduler, quick_limits()),
          watch(loop.scheduler, direct, registry, [](bool) {}),
          others(name, base::zone_name("z"), {}),
          transport(loop.scheduler, name, direct, to_routers, watch, others),
          forwarding(loop.scheduler, registry, transport, settings()),
          server(loop.scheduler, http::server_limits{},
                 [this](http::request message, http::response_writer& writer) {
                     return forwarding.handle(std::move(message), writer);
                 }),
          address(server.listen(ferryroad::test::any_port)) {
        listed_engine listed;
        listed.name = engine;
        listed.address = engine_address;
        registry.put(listed);
    }
    static forwarding_server_settings settings() {
        forwarding_server_settings few;
        few.max_in_progress = 1;
        return few;
    }
    void know(const std::vector<const test_router*>& routers) {
        std::vector<peer_address> present;
        present.reserve(routers.size());
        for (const test_router* one : routers) {
            present.push_back(
                {one->name, base::zone_name("z"), {"127.0.0.1", 1}, {}, one->address});
        }
        others.set_routers(present);
    }
    engine_target target() const { return {engine, registry.engines().at(engine).listed.address}; }

    base::router_name name;
    engine_registry registry;
    http::client direct;
    http::client to_routers;
    path_watcher watch;
    forwarding_routers others;
    engine_transport transport;
    forwarding_server forwarding;
    http::server server;
    base::endpoint address;
};

http::request request() {
    http::request message;
    message.method = "POST";
    message.target = "/x?y=1";
    message.headers.add("Host", "shop.example");
    message.headers.add("Id", "id1");
    message.body = "question";
    return message;
}

http::relay_options options() {
    http::relay_options options;
    options.limit = 2s;
    options.echoed_header = http::header{"Id", "id1"};
    return options;
}

const std::string whole_answer =
    "HTTP/1.1 200 OK\r\nId: id1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";

runtime::task<std::string> read_body(http::byte_stream& body) {
    std::string text;
    for (;;) {
        auto bytes = co_await body.next(1s);
        if (!bytes) {
            co_return text + "!";
        }
        if (!*bytes) {
            co_return text;
        }
        text += **bytes;
    }
}

runtime::task<engine_transport::carry_result> send(test_router& router,
                                                   bool fresh_connection = false) {
    engine_target target = router.target();
    http::request message = request();
    http::relay_options all = options();
    all.fresh_connection = fresh_connection;
    co_return co_await router.transport.relay(std::move(target), std::move(message),
                                              std::move(all));
}

/// Makes a router take its paths to all engines as lost.
void lose_paths(test_router& router, loopback& loop) {
    router.watch.failed(engine, loop.scheduler.now());
    router.watch.failed(base::engine_name("e2"), loop.scheduler.now());
    cr_assert(router.watch.paths().all_lost());
}

/// Router a reaches no engine, router b reaches `engine_at`.
struct pair_of_routers {
    pair_of_routers(loopback& loop, const base::endpoint& engine_at)
        : a(loop, "a", refusing_address(loop)), b(loop, "b", engine_at) {
        a.know({&a, &b});
        b.know({&a, &b});
    }
    test_router a;
    test_router b;
};

runtime::task<void> check_served(loopback& loop) {
    scripted_server server(loop, {{{whole_answer}, true}});
    pair_of_routers routers(loop, server.address());
    auto answer = co_await send(routers.a);
    cr_assert(answer.has_value());
    cr_assert(answer->via == base::router_name("b"));
    cr_assert_eq(answer->body->status(), 200);
    cr_assert(answer->body->headers().find("Signature") == std::string_view("s"));
    cr_assert_eq(co_await read_body(*answer->body), "ok");
    cr_assert_eq(routers.a.transport.counters().forwarded, 1);
    cr_assert_eq(routers.b.forwarding.counters().accepted, 1);
}

/// Records the bytes of the first request that it receives.
runtime::task<void> record_request(boost::asio::ip::tcp::acceptor& acceptor, std::string& recorded,
                                   bool& closed) {
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    recorded = co_await socket.read_until("question");
    co_await socket.write(
        "HTTP/1.1 200 OK\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    co_await socket.read_to_close();
    closed = true;
}

runtime::task<void> check_unchanged_and_cancelled(loopback& loop) {
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::string recorded;
    bool closed = false;
    loop.scheduler.spawn("engine", record_request(acceptor, recorded, closed));
    pair_of_routers routers(loop, {"127.0.0.1", acceptor.local_endpoint().port()});
    auto answer = co_await send(routers.a);
    cr_assert(answer.has_value());
    cr_assert(recorded.starts_with("POST /x?y=1 HTTP/1.1\r\n"), "%s", recorded.c_str());
    cr_assert(recorded.find("shop.example") != std::string::npos);
    cr_assert(recorded.find("Ferryroad-") == std::string::npos, "%s", recorded.c_str());
    cr_assert_eq(routers.b.forwarding.in_progress(), 1);
    answer->body.reset();
    co_await loop.until([&] { return closed && routers.b.forwarding.in_progress() == 0; });
}

runtime::task<void> check_next_router(loopback& loop) {
    scripted_server server(loop, {{{whole_answer}, true}});
    test_router a(loop, "a", refusing_address(loop));
    test_router lost(loop, "lost", refusing_address(loop));
    test_router stopping(loop, "stopping", server.address());
    test_router c(loop, "c", server.address());
    lose_paths(lost, loop);
    stopping.forwarding.refuse_new();
    a.know({&lost, &stopping, &c});
    lost.know({&c});
    auto answer = co_await send(a);
    cr_assert(answer.has_value());
    cr_assert(answer->via == base::router_name("c"));
    cr_assert_eq(lost.transport.counters().forwarded, 0, "one hop only");
    cr_assert_eq(server.requests(), 1);
}

runtime::task<void> check_engine_down(loopback& loop) {
    pair_of_routers routers(loop, refusing_address(loop));
    auto answer = co_await send(routers.a);
    cr_assert_not(answer.has_value());
    cr_assert(answer.error().error.code == http::error_code::connect_failed);
    cr_assert(answer.error().via == base::router_name("b"));
    cr_assert_not(answer.error().own_path, "the engine is down for both routers");
}

runtime::task<void> check_nobody_reaches(loopback& loop) {
    pair_of_routers routers(loop, refusing_address(loop));
    lose_paths(routers.a, loop);
    lose_paths(routers.b, loop);
    auto answer = co_await send(routers.a);
    cr_assert_not(answer.has_value());
    cr_assert(answer.error().error.code == http::error_code::connect_failed);
    cr_assert(answer.error().own_path);
}

runtime::task<void> check_engine_down_without_others(loopback& loop) {
    test_router a(loop, "a", refusing_address(loop));
    for (int i = 0; i < 2; ++i) {
        auto answer = co_await send(a);
        cr_assert_not(answer.has_value());
        cr_assert_not(answer.error().own_path, "a single engine that fails is down");
    }
}

runtime::task<void> check_engine_known_down(loopback& loop) {
    pair_of_routers routers(loop, refusing_address(loop));
    routers.b.watch.failed(engine, loop.scheduler.now());
    auto answer = co_await send(routers.a);
    cr_assert_not(answer.has_value());
    cr_assert(answer.error().via == base::router_name("b"));
    cr_assert_not(answer.error().own_path, "b reaches others, but not this engine");
}

runtime::task<void> check_broken_answer(loopback& loop) {
    const std::string part = "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 9\r\n\r\nok";
    scripted_server server(loop, {{{part}, true}});
    pair_of_routers routers(loop, server.address());
    auto answer = co_await send(routers.a);
    cr_assert(answer.has_value());
    const std::string body = co_await read_body(*answer->body);
    cr_assert(body.ends_with("!"), "a truncated answer must not look whole: %s", body.c_str());
}

/// Sends a part of an answer without a length or chunks, stops listening and closes regularly.
runtime::task<void> crash_in_answer(boost::asio::ip::tcp::acceptor& acceptor) {
    ferryroad::test::raw_socket socket(co_await acceptor.async_accept(boost::asio::use_awaitable));
    co_await socket.read_until("question");
    co_await socket.write("HTTP/1.1 200 OK\r\nId: id1\r\n\r\npart");
    acceptor.close();
}

runtime::task<void> check_crash_in_unframed_answer(loopback& loop) {
    boost::asio::ip::tcp::acceptor acceptor(loop.context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    pair_of_routers routers(loop, {"127.0.0.1", acceptor.local_endpoint().port()});
    loop.scheduler.spawn("engine", crash_in_answer(acceptor));
    auto answer = co_await send(routers.a);
    cr_assert(answer.has_value());
    const std::string body = co_await read_body(*answer->body);
    cr_assert(body == "part!", "%s", body.c_str());
}

runtime::task<void> check_lost_request(loopback& loop) {
    scripted_server server(loop, {{{""}, true}});  // Closes after the request.
    pair_of_routers routers(loop, server.address());
    auto answer = co_await send(routers.a);
    cr_assert_not(answer.has_value());
    cr_assert(answer.error().error.code == http::error_code::connection_lost,
              "the request may have run");
    cr_assert_eq(server.requests(), 1, "and is not sent again");
}

runtime::task<void> check_bound(loopback& loop) {
    const std::string head = "HTTP/1.1 200 OK\r\nId: id1\r\nContent-Length: 9\r\n\r\nok";
    scripted_server server(loop, {{{head}, false}, {{whole_answer}, true}});
    pair_of_routers routers(loop, server.address());
    auto first = co_await send(routers.a);
    cr_assert(first.has_value());
    auto second = co_await send(routers.a);
    cr_assert_not(second.has_value(), "one request of others at a time is the limit here");
    cr_assert_eq(routers.b.forwarding.counters().refused, 1);
    cr_assert_eq(server.requests(), 1);
}

runtime::task<void> check_new_connection(loopback& loop) {
    scripted_server server(loop, {{{whole_answer, whole_answer}, false}, {{whole_answer}, false}});
    pair_of_routers routers(loop, server.address());
    for (const bool fresh : {false, false, true}) {
        auto answer = co_await send(routers.a, fresh);
        cr_assert(answer.has_value());
        const std::string body = co_await read_body(*answer->body);
        cr_assert(body == "ok");
        cr_assert_eq(server.connections(), fresh ? 2 : 1);
    }
}

/// Another router answers the first request on a connection, and to the next one sends a failure
/// that names no request.
runtime::task<void> check_unnamed_failure(loopback& loop, const std::string& failure) {
    scripted_server other(loop, {{{whole_answer, failure}, true}});
    test_router a(loop, "a", refusing_address(loop));
    a.others.set_routers(
        {{base::router_name("b"), base::zone_name("z"), {"127.0.0.1", 1}, {}, other.address()}});
    auto first = co_await send(a);
    cr_assert(first.has_value());
    const std::string body = co_await read_body(*first->body);
    cr_assert(body == "ok");
    auto second = co_await send(a);
    cr_assert_not(second.has_value());
    cr_assert(second.error().error.code == http::error_code::connection_lost, "%s",
              failure.c_str());
}

runtime::task<void> check_unnamed_failures(loopback& loop) {
    for (const char* head :
         {"400 X\r\n", "500 X\r\n", "503 X\r\n", "502 X\r\nFerryroad-Failure: no_path\r\n",
          "502 X\r\nFerryroad-Failure: connect_failed\r\n"}) {
        const std::string failure = std::string("HTTP/1.1 ") + head + "Content-Length: 0\r\n\r\n";
        co_await check_unnamed_failure(loop, failure);
    }
}

runtime::task<void> check_direct_while_it_works(loopback& loop) {
    scripted_server server(loop, {{{whole_answer}, true}});
    test_router a(loop, "a", server.address());
    test_router b(loop, "b", server.address());
    a.know({&b});
    auto answer = co_await send(a);
    cr_assert(answer.has_value());
    cr_assert_not(answer->via.has_value());
    cr_assert_eq(b.forwarding.counters().accepted, 0);
}

runtime::task<void> check_probed_back(loopback& loop) {
    scripted_server server(loop, {});
    test_router a(loop, "a", server.address());
    test_router b(loop, "b", server.address());
    a.know({&b});
    a.watch.failed(engine, loop.scheduler.now());
    cr_assert_not(a.transport.reaches(a.target()));
    co_await loop.until([&] { return a.transport.reaches(a.target()); });
    cr_assert_geq(a.watch.counters().probes, 1);
}

runtime::task<void> check_refusal_needs_another_router(loopback& loop) {
    scripted_server server(loop, {});
    pair_of_routers routers(loop, server.address());
    cr_assert_not(co_await routers.a.transport.is_refused(routers.a.target()),
                  "the other router is accepted");
    cr_assert_eq(routers.b.forwarding.counters().accepted, 0);
}

runtime::task<void> check_refusal_of_both(loopback& loop) {
    pair_of_routers routers(loop, refusing_address(loop));
    routers.b.watch.heard(base::engine_name("e2"));
    lose_paths(routers.a, loop);
    cr_assert(co_await routers.a.transport.is_refused(routers.a.target()),
              "several engines may crash at once");
}

runtime::task<void> check_refusal_without_witness(loopback& loop) {
    pair_of_routers routers(loop, refusing_address(loop));
    cr_assert(co_await routers.a.transport.is_refused(routers.a.target()),
              "the other router has heard no engine and cannot tell");
    test_router alone(loop, "c", refusing_address(loop));
    cr_assert(co_await alone.transport.is_refused(alone.target()));
}

void run(runtime::task<void> (*check)(loopback&)) {
    loopback loop;
    cr_assert(loop.run([&] { return check(loop); }));
}

}  // namespace

Test(forwarding, a_request_without_a_path_is_served_by_another_router) {
    run(check_served);
}
Test(forwarding, the_engine_gets_the_callers_request_and_its_cancellation) {
    run(check_unchanged_and_cancelled);
}
Test(forwarding, routers_without_a_path_or_about_to_stop_are_passed_over) {
    run(check_next_router);
}
Test(forwarding, an_engine_that_is_down_for_others_too_has_failed_itself) {
    run(check_engine_down);
}
Test(forwarding, without_any_path_the_failure_is_this_routers_own) {
    run(check_nobody_reaches);
}
Test(forwarding, an_engine_that_is_down_has_failed_itself_if_there_is_no_other_router) {
    run(check_engine_down_without_others);
}
Test(forwarding, an_engine_that_another_router_knows_to_be_down_is_not_asked_again) {
    run(check_engine_known_down);
}
Test(forwarding, a_truncated_answer_stays_truncated) {
    run(check_broken_answer);
}
// A part of an answer was passed on as whole.
Test(forwarding, an_answer_without_framing_is_truncated_if_its_engine_has_crashed) {
    run(check_crash_in_unframed_answer);
}
Test(forwarding, a_request_that_may_have_run_is_not_sent_again) {
    run(check_lost_request);
}
Test(forwarding, requests_of_other_routers_are_bounded) {
    run(check_bound);
}
// The id does not distinguish answers to two dispatches of one request on one connection.
Test(forwarding, a_new_connection_is_opened_to_the_engine_if_the_request_needs_one) {
    run(check_new_connection);
}
Test(forwarding, a_failure_that_names_no_request_proves_nothing) {
    run(check_unnamed_failures);
}
Test(forwarding, a_router_with_a_path_uses_it) {
    run(check_direct_while_it_works);
}
Test(forwarding, a_lost_path_is_probed_until_it_returns) {
    run(check_probed_back);
}
Test(forwarding, an_engine_that_refuses_this_router_alone_has_not_crashed) {
    run(check_refusal_needs_another_router);
}
Test(forwarding, an_engine_that_refuses_two_routers_has_crashed_even_if_others_did) {
    run(check_refusal_of_both);
}
Test(forwarding, an_engine_that_refuses_has_crashed_if_no_router_can_tell_otherwise) {
    run(check_refusal_without_witness);
}
