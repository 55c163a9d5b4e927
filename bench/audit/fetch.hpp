/// @file
/// Reads the engines' lists of executions.
#pragma once

#include "bench/audit/execution.hpp"
#include "bench/load/endpoints.hpp"
#include "bench/load/errors.hpp"
#include "ferryroad/http/client.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string_view>
#include <vector>

namespace ferryroad::bench::audit {

/// @param engine place of the engine in the endpoints file, written into each row.
runtime::result<std::vector<execution>, load::error> parse_executions(std::string_view body,
                                                                      std::size_t engine);

/// @return the rows of all engines, or the first engine's failure to answer.
runtime::task<runtime::result<std::vector<execution>, load::error>> fetch_executions(
    http::client& client, std::vector<load::engine_entry> engines);

}  // namespace ferryroad::bench::audit
