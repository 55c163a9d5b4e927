/// A planned stop closes connections after their responses from the start, serves new requests
/// during the notice and refuses them afterwards, waits for requests in progress, and completes
/// within the grace.
#include "ferryroad/relay/planned_stop.hpp"

#include "test/http/loopback.hpp"

#include <algorithm>
#include <optional>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

const std::string get_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct planned_stop_fixture {
    ferryroad::test::loopback loop;
    bool refusing = false;
    bool gate_open = false;
    bool ends_requests = false;  ///< Requests are answered when they are ended.
    bool ended_early = false;
    base::monotonic_time ends_at{};
    http::server server{
        loop.scheduler, {}, [this](http::request message, http::response_writer& writer) {
            return handle(std::move(message), writer);
        }};
    base::endpoint address = server.listen(ferryroad::test::any_port);
    std::optional<base::duration> stopped_after;

    runtime::task<void> handle(http::request message, http::response_writer& writer) {
        if (message.path() == "/gated") {
            co_await loop.until([this] { return gate_open; });
        }
        http::response answer;
        answer.status = refusing ? 503 : 200;
        co_await writer.send(std::move(answer));
    }
    runtime::task<void> stop(base::duration grace) {
        const base::monotonic_time began = loop.scheduler.now();
        stop_settings settings;
        settings.grace = grace;
        settings.notice = 60ms;
        settings.margin = 10ms;
        settings.last_responses = 5ms;
        stop_actions actions;
        actions.begin = [this](base::monotonic_time end) { ends_at = end; };
        actions.refuse_new = [this] { refusing = true; };
        actions.end_requests = [this] {
            ended_early = loop.scheduler.now() < ends_at;
            gate_open = gate_open || ends_requests;
        };
        co_await planned_stop(loop.scheduler, server, settings, std::move(actions));
        stopped_after = loop.scheduler.now() - began;
    }
    runtime::task<std::string> ask(std::string text) {
        ferryroad::test::raw_socket socket(loop.context);
        socket.connect(address);
        co_await socket.write(std::move(text));
        co_return co_await socket.read_to_close();
    }
};

runtime::task<void> ask_during_notice(planned_stop_fixture& fixture) {
    fixture.loop.scheduler.spawn("stop", fixture.stop(600ms));
    co_await fixture.loop.scheduler.sleep_for(5ms);
    std::string text = get_request;
    const std::string answer = co_await fixture.ask(std::move(text));
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    cr_assert_neq(answer.find("Connection: close"), std::string::npos);
    cr_assert_not(fixture.refusing);
    co_await fixture.loop.until([&fixture] { return fixture.stopped_after.has_value(); });
}

runtime::task<void> stop_during_request(planned_stop_fixture& fixture) {
    ferryroad::test::raw_socket socket(fixture.loop.context);
    socket.connect(fixture.address);
    co_await socket.write("GET /gated HTTP/1.1\r\nHost: x\r\n\r\n");
    co_await fixture.loop.until([&fixture] { return fixture.server.active_requests() == 1; });
    fixture.loop.scheduler.spawn("stop", fixture.stop(2s));
    co_await fixture.loop.until([&fixture] { return fixture.refusing; });
    cr_assert_not(fixture.stopped_after.has_value());
    fixture.gate_open = true;
    const std::string answer = co_await socket.read_to_close();
    cr_assert(answer.starts_with("HTTP/1.1"), "%s", answer.c_str());
    co_await fixture.loop.until([&fixture] { return fixture.stopped_after.has_value(); });
}

/// @param received what the caller of a request gets that is in progress as the grace ends.
runtime::task<void> ask_until_grace_ends(planned_stop_fixture& fixture, std::string& received) {
    ferryroad::test::raw_socket socket(fixture.loop.context);
    socket.connect(fixture.address);
    co_await socket.write("GET /gated HTTP/1.1\r\nHost: x\r\n\r\n");
    co_await fixture.loop.until([&fixture] { return fixture.server.active_requests() == 1; });
    fixture.ends_requests = true;
    fixture.loop.scheduler.spawn("stop", fixture.stop(300ms));
    received = co_await socket.read_to_close();
    co_await fixture.loop.until([&fixture] { return fixture.stopped_after.has_value(); });
}

runtime::task<void> stop_during_endless_request(planned_stop_fixture& fixture) {
    ferryroad::test::raw_socket socket(fixture.loop.context);
    socket.connect(fixture.address);
    co_await socket.write("GET /gated HTTP/1.1\r\nHost: x\r\n\r\n");
    co_await fixture.loop.until([&fixture] { return fixture.server.active_requests() == 1; });
    co_await fixture.stop(300ms);
    fixture.gate_open = true;
}

}  // namespace

Test(planned_stop, serves_during_the_notice_and_ends_each_connection) {
    planned_stop_fixture fixture;
    cr_assert(fixture.loop.run([&] { return ask_during_notice(fixture); }));
    cr_assert(fixture.refusing);
}

Test(planned_stop, waits_for_requests_in_progress) {
    planned_stop_fixture fixture;
    cr_assert(fixture.loop.run([&] { return stop_during_request(fixture); }));
}

// Guards against requests that were cut without a response when the grace was over.
Test(planned_stop, requests_in_progress_are_ended_with_a_response_before_the_grace_is_over) {
    planned_stop_fixture fixture;
    std::string received;
    cr_assert(fixture.loop.run([&] { return ask_until_grace_ends(fixture, received); }));
    cr_assert(received.starts_with("HTTP/1.1"), "%s", received.c_str());
    cr_assert_not(fixture.ended_early);
    cr_assert(*fixture.stopped_after < 2s);
}

Test(planned_stop, ends_within_the_grace) {
    planned_stop_fixture fixture;
    cr_assert(fixture.loop.run([&] { return stop_during_endless_request(fixture); }));
    cr_assert(*fixture.stopped_after >= 280ms);
    cr_assert(*fixture.stopped_after < 2s);
}

Test(planned_stop, limits_are_those_that_operators_declared) {
    core::traffic::caller_limits declared;
    declared.header_bytes = 111;
    declared.body_bytes = 222;
    declared.header_read = 3s;
    declared.idle = 4s;
    const http::server_limits limits = server_limits_of(declared);
    cr_assert_eq(limits.header_bytes, 111);
    cr_assert_eq(limits.body_bytes, 222);
    cr_assert(limits.header_read == 3s);
    cr_assert(limits.idle == 4s);
}
