/// @file
/// Test fixture: a caller front end on a loopback HTTP server, with a scripted request service.
#pragma once

#include "ferryroad/caller/caller_front.hpp"
#include "ferryroad/http/json.hpp"
#include "ferryroad/router/request/request_metrics.hpp"
#include "test/http/loopback.hpp"
#include "test/router/request/fake_router.hpp"

#include <string>

namespace ferryroad::test {

struct caller_fixture {
    loopback loop;
    fake_router router{loop.scheduler};
    runtime::metrics registry;
    router::request_metrics executions{registry};
    bool ready = true;
    caller::caller_front front{loop.scheduler, router.service, registry, [this] { return ready; }};
    http::server server{loop.scheduler, limits(),
                        [this](http::request request, http::response_writer& writer) {
                            return front.handle(std::move(request), writer);
                        }};
    base::endpoint address = server.listen(any_port);

    static http::server_limits limits() {
        http::server_limits small;
        small.body_bytes = 8192;
        return small;
    }

    caller_fixture() {
        router.service.observe(executions);
        server.set_refusal_hook([this](http::response& answer) { front.complete_refusal(answer); });
    }

    /// Sends `bytes`. @return everything received until the server closed the connection.
    std::string exchange(const std::string& bytes) {
        std::string answer;
        const auto body = [&]() -> runtime::task<void> {
            raw_socket socket(loop.context);
            socket.connect(address);
            co_await socket.write(bytes);
            answer = co_await socket.read_to_close();
        };
        loop.context.restart();
        return loop.run(body) ? answer : "no end";
    }
};

/// @return a request with `Connection: close`.
inline std::string request_text(const std::string& line, const std::string& headers,
                                const std::string& body) {
    return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string authorized = "Authorization: Bearer " + bearer_key + "\r\n";

inline std::string completion_text(const std::string& fields, const std::string& headers = {}) {
    return request_text(
        "POST /v1/completions", authorized + headers,
        R"({"model":"m1","prompt":"0123456789abcdef0123456789abcdef")" + fields + "}");
}

}  // namespace ferryroad::test
