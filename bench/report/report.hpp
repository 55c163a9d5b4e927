/// @file
/// Reports of runs side by side: text, JSON, and one self-contained HTML page.
#pragma once

#include "bench/measure/summary.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace ferryroad::bench::report {

/// @param runs one column each. @return a table, one measure a line.
std::string to_text(const std::vector<measure::summary>& runs);

/// @return an object with all figures and the histograms' bins.
boost::json::value to_json(const measure::summary& run);
boost::json::value to_json(const std::vector<measure::summary>& runs);

/// @return a page without scripts or outside references; histograms are SVG.
std::string to_html(const std::string& title, const std::vector<measure::summary>& runs);

}  // namespace ferryroad::bench::report
