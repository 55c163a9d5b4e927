/// @file
/// Records in a file, one JSON object a line, for the auditor.
#pragma once

#include "bench/load/errors.hpp"
#include "bench/load/record.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string>
#include <vector>

namespace ferryroad::bench::load {

std::string to_line(const call_record& record);
runtime::result<call_record, error> parse_line(const std::string& line);

/// Writes the file anew.
runtime::result<void, error> write_records(const std::string& file,
                                           const std::vector<call_record>& records);
runtime::result<std::vector<call_record>, error> read_records(const std::string& file);

std::string_view to_string(call_outcome outcome);
std::string_view to_string(answer_state state);

}  // namespace ferryroad::bench::load
