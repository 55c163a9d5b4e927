/// @file
/// Errors of exchanges between routers during engine selection.
#pragma once

namespace ferryroad::router::selection {

/// Why an exchange with another router failed.
enum class exchange_failure {
    unreachable,  ///< The request could not be sent, or the connection was lost.
    timed_out,    ///< No answer arrived within the time limit.
    malformed     ///< The answer could not be decoded or had an unexpected type.
};

/// A failed exchange with another router. Selection continues without its answer.
struct exchange_error {
    exchange_failure failure{};
};

}  // namespace ferryroad::router::selection
