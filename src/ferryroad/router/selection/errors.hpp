/// @file
/// Errors of engine selection.
#pragma once

namespace ferryroad::router::selection {

enum class exchange_failure {
    unreachable,  ///< Nothing was sent, or the connection broke.
    timed_out,
    malformed  ///< The answer made no sense.
};

/// An exchange with another router failed; selection goes on without it.
struct exchange_error {
    exchange_failure failure{};
};

}  // namespace ferryroad::router::selection
