/// @file
/// Formats refusals as HTTP answers, and as the last event of a stream that failed.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/caller/errors.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/router/request_types.hpp"

#include <string>
#include <string_view>

namespace ferryroad::caller {

inline constexpr const char* request_id_header = "Ferryroad-Request-Id";
inline constexpr const char* execution_header = "Ferryroad-Execution";

/// @return the text of `error.code` in the answer, such as `over_limit`; also the `outcome` label
/// of the metrics.
std::string_view to_string(router::refusal_code code);

/// @return the HTTP status of an answer with that code.
unsigned status_of(router::refusal_code code);

/// @return an answer with the body `{"error":{...}}`, the status, the execution header and, where
/// the refusal names a time, Retry-After.
http::response refusal_answer(const base::request_id& request, const router::refusal& refused);

/// @return the answer to a request that the front end rejected. Its execution header says that
/// nothing was executed.
http::response error_answer(const base::request_id& request, const error& failure);

/// Adds the request id, and an execution header saying that nothing was executed, to an error
/// answer of the HTTP server.
void mark_not_run(const base::request_id& request, http::response& answer);

/// @return the server-sent event that ends a stream that failed.
std::string refusal_event(const router::refusal& refused);

}  // namespace ferryroad::caller
