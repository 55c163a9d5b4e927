/// @file
/// Errors of engine calls. Each error states what it proves about execution of the request.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>
#include <string>

namespace ferryroad::engine {

/// Why an engine call failed.
enum class error_code {
    connect_failed,       ///< No connection could be opened; nothing was sent.
    refused_incarnation,  ///< The engine process has another incarnation than expected.
    refused_version,      ///< The engine serves another model, weights version or adapter.
    refused_overloaded,   ///< The engine's queue is full.
    refused_leaving,      ///< The engine is shutting down and admits no new work.
    refused_bad_request,  ///< The engine can never run the request (too long, malformed).
    refused_stale_token,  ///< The engine has already seen a higher fencing token.
    refused_import,       ///< The exported state didn't match the namespace or the checksum.
    not_found,            ///< The engine doesn't know the attempt or the exported state.
    connection_lost,      ///< The connection broke after at least one byte was sent.
    timed_out,            ///< No response in time after at least one byte was sent, or
                          ///< no time left to send (proof `not_sent`).
    protocol_violation,   ///< The response was invalid or belonged to another attempt.
    failed                ///< The engine ran the request and reports a failure.
};

/// What an error proves about execution: the request never left the router, the engine did not
/// run it, or the engine may have run it.
enum class proof { not_sent, not_run, unknown };

/// A failed engine call.
struct error {
    error_code code{};
    proof proves = proof::unknown;
    std::string message;                        ///< For logs; never passed to callers in full.
    std::optional<base::duration> retry_after;  ///< Present if the engine asked for a delay.
};

}  // namespace ferryroad::engine
