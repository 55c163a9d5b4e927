/// @file
/// The figures of one run, from its records and what the engines ran. Pure.
#pragma once

#include "bench/audit/execution.hpp"
#include "bench/load/cache_history.hpp"
#include "bench/load/record.hpp"
#include "bench/measure/summary.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferryroad::bench::load {

/// Prompts by their SHA-256, kept because the engines name pieces by their namespace too.
using prompt_index = std::unordered_map<std::string, std::shared_ptr<const std::string>>;

/// @param executions of this run only, or of more: those of other prompts are left out.
measure::summary summarize(const std::string& label, const std::vector<call_record>& records,
                           const std::vector<audit::execution>& executions,
                           const prompt_index& prompts, const cache_history& caches,
                           std::size_t piece_bytes);

}  // namespace ferryroad::bench::load
