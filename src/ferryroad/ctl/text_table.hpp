/// @file
/// Tables with aligned columns for terminal output.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace ferryroad::ctl {

class text_table {
  public:
    explicit text_table(std::vector<std::string> header) : rows_{std::move(header)} {}
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out) const;

  private:
    std::vector<std::vector<std::string>> rows_;
};

}  // namespace ferryroad::ctl
