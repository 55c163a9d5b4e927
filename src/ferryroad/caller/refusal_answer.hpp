/// @file
/// Refusals as HTTP answers and as the last event of a broken stream.
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

/// @return the code in `error.code`, such as `over_limit`; also the metrics' label.
std::string_view to_string(router::refusal_code code);

/// @return the answer's status for that code.
unsigned status_of(router::refusal_code code);

/// @return `{"error":{...}}` with status, execution and Retry-After.
http::response refusal_answer(const base::request_id& request, const router::refusal& refused);

/// @return the answer to a request that the front itself turned away: nothing ran.
http::response error_answer(const base::request_id& request, const error& failure);

/// Adds request id and execution to an error answer of the HTTP server: nothing ran.
void mark_not_run(const base::request_id& request, http::response& answer);

/// @return the server-sent event that ends a stream which can't be finished.
std::string refusal_event(const router::refusal& refused);

}  // namespace ferryroad::caller
