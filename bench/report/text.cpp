#include "bench/report/report.hpp"
#include "bench/report/rows.hpp"

#include <algorithm>

namespace ferryroad::bench::report {

namespace {

std::string pad_left(const std::string& text, std::size_t width) {
    return text.size() < width ? std::string(width - text.size(), ' ') + text : text;
}

std::string pad_right(const std::string& text, std::size_t width) {
    return text.size() < width ? text + std::string(width - text.size(), ' ') : text;
}

}  // namespace

std::string to_text(const std::vector<measure::summary>& runs) {
    row heading{"", {}};
    for (const measure::summary& run : runs) {
        heading.values.push_back(run.label);
    }
    std::vector<row> rows = make_rows(runs);
    rows.insert(rows.begin(), heading);
    std::size_t name_width = 0;
    std::vector<std::size_t> widths(runs.size(), 0);
    for (const row& line : rows) {
        name_width = std::max(name_width, line.measure.size());
        for (std::size_t column = 0; column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], line.values[column].size());
        }
    }
    std::string text;
    for (const row& line : rows) {
        text += pad_right(line.measure, name_width);
        for (std::size_t column = 0; column < widths.size(); ++column) {
            text += "  " + pad_left(line.values[column], widths[column]);
        }
        text += "\n";
    }
    return text;
}

}  // namespace ferryroad::bench::report
