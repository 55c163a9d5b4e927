/// @file
/// Errors of talking to an engine. Each says what it proves about execution.
#pragma once

#include "ferryroad/base/time.hpp"

#include <optional>
#include <string>

namespace ferryroad::engine {

enum class error_code {
    connect_failed,       ///< No connection: nothing was sent.
    refused_incarnation,  ///< The engine is another process than expected.
    refused_version,      ///< Other model, weights version or adapter than expected.
    refused_overloaded,   ///< Its queue is full.
    refused_leaving,      ///< It takes no new work.
    refused_bad_request,  ///< It can't ever run this (too long, malformed).
    refused_stale_token,  ///< An order carried a fencing token older than one seen.
    refused_import,       ///< Exported state didn't match namespace or checksum.
    not_found,            ///< No such attempt (to resume or cancel), or no such state.
    connection_lost,      ///< Cut after at least one byte was sent.
    timed_out,            ///< No answer in time after at least one byte was sent.
    protocol_violation,   ///< The answer made no sense, or was for another attempt.
    failed                ///< The engine ran it and reports a failure.
};

/// What an error proves.
enum class proof { not_sent, not_run, unknown };

/// An engine layer's error.
struct error {
    error_code code{};
    proof proves = proof::unknown;
    std::string message;                        ///< For logs; never shown to callers whole.
    std::optional<base::duration> retry_after;  ///< When the engine itself said so.
};

}  // namespace ferryroad::engine
