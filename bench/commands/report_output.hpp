/// @file
/// Where subcommands leave their reports.
#pragma once

#include "bench/measure/summary.hpp"

#include <string>
#include <vector>

namespace ferryroad::bench::commands {

/// Empty names write no file.
struct report_files {
    std::string json;  ///< With all samples.
    std::string html;
};

/// @return false where a file can't be written; says so on standard error.
bool write_report_files(const std::string& title, const std::vector<measure::summary>& runs,
                        const report_files& files);

/// @param form `text` or `json`; any other prints nothing.
void print_report(const std::vector<measure::summary>& runs, const std::string& form);

}  // namespace ferryroad::bench::commands
