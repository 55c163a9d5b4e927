/// @file
/// Errors of HTTP exchanges, ours as a client and as a server.
#pragma once

#include <string>

namespace ferryroad::http {

enum class error_code {
    connect_failed,   ///< No connection: no byte was sent.
    withheld,         ///< The sender took it back as the connection was there: no byte was sent.
    connection_lost,  ///< Cut or reset after at least one byte was sent.
    timed_out,        ///< No whole answer in time after at least one byte was sent.
    malformed,        ///< Not HTTP, or not the JSON that was expected.
    too_large         ///< Over the limit for headers or body.
};

struct error {
    error_code code{};
    std::string message;
};

}  // namespace ferryroad::http
