/// @file
/// How a router asks another one to pass a request on to an engine that it cannot reach itself: the
/// engine's request over HTTP, with headers for the router that passes it on. That router removes
/// them, and marks an answer of its own with a failure header.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::relay {

/// Why a router could not pass a request on.
enum class forward_failure {
    no_path,         ///< It has lost its paths to all engines, too. Not sent to the engine.
    busy,            ///< It passes on as many requests as it may. Not sent.
    stopping,        ///< It shuts down. Not sent.
    unknown_engine,  ///< It doesn't know the engine, or knows that it leaves. Not sent.
    connect_failed,  ///< The engine, alone among others, accepted no connection. Not sent.
    refused,         ///< The engine refused a connection that was to show whether it does.
    connection_lost,
    timed_out,
    malformed,
    too_large
};

/// @return the name used in messages and logs. Thread-safe, as are all functions here.
std::string_view to_string(forward_failure failure);
/// @return the failure of that name, or nothing.
std::optional<forward_failure> parse_forward_failure(std::string_view name);
/// @return whether another router may pass the request on, as this one has not tried.
bool may_try_another_router(forward_failure failure);
/// @return the failure that stands for an error in the exchange with the engine.
forward_failure forward_failure_of(const http::error& error);
/// @return the error that the router which asked has to report.
http::error error_of(forward_failure failure, const base::router_name& router);

/// What the router that passes a request on has to know.
struct forward_parameters {
    base::engine_name engine;
    base::router_name sender;
    base::duration limit{};  ///< Time until the head of the engine's answer must have arrived.
    /// Name of the request header that the engine's answers echo; empty if there is none.
    std::string echoed_header;
    /// Only opens a connection to the engine, to see whether it accepts one.
    bool probe = false;
    /// Whether the request must go to the engine on a new connection.
    bool fresh_connection = false;

    friend bool operator==(const forward_parameters&, const forward_parameters&) = default;
};

/// Adds the parameters to a request for an engine.
void add_forward_parameters(http::request& message, const forward_parameters& parameters);
/// Removes the parameters from a request.
/// @return them, or nothing if one is missing or invalid.
std::optional<forward_parameters> take_forward_parameters(http::request& message);

/// @param echoed the header that answers to the request echo, if any.
/// @return the answer of a router that could not pass a request on.
http::response forward_failure_answer(forward_failure failure,
                                      const std::optional<http::header>& echoed);
/// @return the failure that the head of an answer states, or nothing if the answer is the engine's.
std::optional<forward_failure> failure_in(const http::header_list& head);
/// @return the head of an engine's answer without headers that only routers may set.
http::header_list without_forward_headers(const http::header_list& head);

}  // namespace ferryroad::relay
