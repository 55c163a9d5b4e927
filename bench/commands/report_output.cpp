#include "bench/commands/report_output.hpp"

#include "bench/report/report.hpp"
#include "ferryroad/http/json.hpp"

#include <fstream>
#include <iostream>

namespace ferryroad::bench::commands {

namespace {

bool write_file(const std::string& file, const std::string& text) {
    std::ofstream output(file, std::ios::binary | std::ios::trunc);
    output << text;
    output.flush();
    if (!output) {
        std::cerr << file << ": can't be written\n";
    }
    return static_cast<bool>(output);
}

}  // namespace

bool write_report_files(const std::string& title, const std::vector<measure::summary>& runs,
                        const report_files& files) {
    bool written = true;
    if (!files.json.empty()) {
        const auto value = report::to_json(runs, report::samples::included);
        written &= write_file(files.json, http::to_text(value) + "\n");
    }
    if (!files.html.empty()) {
        written &= write_file(files.html, report::to_html(title, runs));
    }
    return written;
}

void print_report(const std::vector<measure::summary>& runs, const std::string& form) {
    if (form == "json") {
        std::cout << http::to_text(report::to_json(runs)) << "\n";
    } else if (form == "text") {
        std::cout << report::to_text(runs);
    }
}

}  // namespace ferryroad::bench::commands
