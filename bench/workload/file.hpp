/// @file
/// Reads workload files (JSON), checked whole before anything is sent.
#pragma once

#include "bench/workload/errors.hpp"
#include "bench/workload/specification.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string>
#include <string_view>

namespace ferryroad::bench::workload {

/// @param text a workload file's content.
/// @return the specification, or the first fault: field, value and what was expected.
runtime::result<specification, error> parse_specification(std::string_view text);

/// @param file path of a workload file.
runtime::result<specification, error> read_specification(const std::string& file);

}  // namespace ferryroad::bench::workload
