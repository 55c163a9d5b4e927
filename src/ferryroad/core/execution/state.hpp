/// @file
/// Execution state of attempts and requests, and its report to the caller.
#pragma once

#include <string_view>

namespace ferryroad::core::execution {

/// What this router knows about an attempt on an engine.
enum class attempt_state {
    not_sent,        ///< No byte of the attempt has been sent.
    sent,            ///< Bytes may have reached the engine; there is no result yet.
    proven_not_run,  ///< The engine stated that it did not and will not run the attempt.
    unknown,         ///< Sent, but the result was lost: it may have run in part or completely.
    complete         ///< The complete answer was received.
};

/// Content of the response header `Ferryroad-Execution`.
enum class execution_report { complete, not_run, unknown };

/// @return the header value: `complete`, `not-run` or `unknown`.
constexpr std::string_view to_string(execution_report report) {
    switch (report) {
        case execution_report::complete:
            return "complete";
        case execution_report::not_run:
            return "not-run";
        case execution_report::unknown:
            break;
    }
    return "unknown";
}

}  // namespace ferryroad::core::execution
