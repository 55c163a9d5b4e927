#include "ferryroad/ctl/text_table.hpp"

#include <algorithm>

namespace ferryroad::ctl {

void text_table::print(std::ostream& out) const {
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

}  // namespace ferryroad::ctl
