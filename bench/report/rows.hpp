/// @file
/// The measures of a report, in order: shared by the text and HTML tables.
#pragma once

#include "bench/measure/summary.hpp"

#include <string>
#include <vector>

namespace ferryroad::bench::report {

/// One measure with its printed value for each run.
struct row {
    std::string measure;
    std::vector<std::string> values;
};

std::vector<row> make_rows(const std::vector<measure::summary>& runs);

}  // namespace ferryroad::bench::report
