/// @file
/// Every way to send a request with the HTTP client, for tests of answers that none may take.
#pragma once

#include "test/http/loopback.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace ferryroad::test {

/// Every way to send a request. @return why it failed, or nothing if an answer was received whole.
using sender = runtime::task<std::optional<http::error>> (*)(http::client&, const base::endpoint&,
                                                             base::duration limit);

/// Relays a message.
inline runtime::task<std::optional<http::error>> relay_request(http::client& client,
                                                               const base::endpoint& address,
                                                               http::request message,
                                                               base::duration limit) {
    http::relay_options options;
    options.limit = limit;
    options.echoed_header = http::header{"Id", "id1"};
    auto stream = co_await client.relay(address, std::move(message), std::move(options));
    if (!stream) {
        co_return stream.error();
    }
    for (;;) {
        auto bytes = co_await (*stream)->next(limit);
        if (!bytes) {
            co_return bytes.error();
        }
        if (!*bytes) {
            co_return std::nullopt;
        }
    }
}

inline runtime::task<std::optional<http::error>> relay(http::client& client,
                                                       const base::endpoint& address,
                                                       base::duration limit) {
    http::request message;
    co_return co_await relay_request(client, address, std::move(message), limit);
}

inline runtime::task<std::optional<http::error>> send(http::client& client,
                                                      const base::endpoint& address,
                                                      base::duration limit) {
    http::request message;
    const auto answer =
        co_await client.send(address, std::move(message), limit, http::resend::forbidden);
    co_return answer ? std::nullopt : std::optional(answer.error());
}

inline runtime::task<std::optional<http::error>> fetch(http::client& client,
                                                       const base::endpoint& address,
                                                       base::duration limit) {
    http::request message;
    http::fetch_options options{limit, limit, limit};
    const auto answer = co_await client.fetch(address, std::move(message), std::move(options),
                                              http::resend::forbidden);
    co_return answer ? std::nullopt : std::optional(answer.error());
}

inline runtime::task<std::optional<http::error>> open(http::client& client,
                                                      const base::endpoint& address,
                                                      base::duration limit) {
    http::request message;
    const auto stream =
        co_await client.open(address, std::move(message), limit, http::resend::forbidden);
    if (!stream) {
        co_return stream.error();
    }
    const auto rest = co_await (*stream)->read_rest(limit);
    co_return rest ? std::nullopt : std::optional(rest.error());
}

}  // namespace ferryroad::test
