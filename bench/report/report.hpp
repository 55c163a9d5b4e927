/// @file
/// Reports of runs side by side: text, JSON, and one self-contained HTML page.
#pragma once

#include "bench/measure/summary.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::bench::report {

/// @param runs one column each. @return a table, one measure a line.
std::string to_text(const std::vector<measure::summary>& runs);

/// Whether JSON carries every sample, so that `from_json` can read it back.
enum class samples { left_out, included };

/// @return an object with all figures and the histograms' bins.
boost::json::value to_json(const measure::summary& run, samples wanted = samples::left_out);
boost::json::value to_json(const std::vector<measure::summary>& runs,
                           samples wanted = samples::left_out);

/// @param text as `to_json` made it with samples included.
/// @return the runs, or what is wrong with the text.
runtime::result<std::vector<measure::summary>, std::string> from_json(std::string_view text);

/// @return a page without scripts or outside references; histograms are SVG.
std::string to_html(const std::string& title, const std::vector<measure::summary>& runs);

}  // namespace ferryroad::bench::report
