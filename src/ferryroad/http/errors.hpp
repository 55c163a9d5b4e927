/// @file
/// Errors of HTTP exchanges, for the client and the server.
#pragma once

#include <string>

namespace ferryroad::http {

/// Why an exchange failed.
enum class error_code {
    connect_failed,  ///< No connection could be opened; nothing was sent.
    /// `relay_options::last_look` rejected the request once the connection was open; nothing was
    /// sent.
    withheld,
    connection_lost,  ///< Closed or reset after at least one byte was sent.
    timed_out,        ///< No complete response in time after at least one byte was sent.
    malformed,        ///< Not valid HTTP, or not the expected JSON.
    too_large         ///< Headers, body or a line of it exceed the size limit.
};

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::http
