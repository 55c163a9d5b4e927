/// @file
/// What is known of an attempt's or a request's execution, and what a caller may be told.
#pragma once

#include <string_view>

namespace ferryroad::core::execution {

/// Knowledge of one attempt on one engine.
enum class attempt_state {
    not_sent,        ///< No byte of it has left this router.
    sent,            ///< Some byte may have reached the engine; no answer yet.
    proven_not_run,  ///< The engine said that it did not and will not run it.
    unknown,         ///< Sent, then lost sight of: it may have run, in part or whole.
    complete         ///< The whole answer came back.
};

/// What the caller is told in `Ferryroad-Execution`.
enum class execution_report { complete, not_run, unknown };

/// Header value: `complete`, `not-run` or `unknown`.
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
