/// @file
/// `ferrybench report`: puts runs that `load --json` wrote side by side.
#include "bench/report/report.hpp"

#include "bench/commands/commands.hpp"
#include "bench/commands/report_output.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ferryroad::bench::commands {

namespace {

struct report_options {
    std::vector<std::string> files;
    std::string title = "ferrybench";
    std::string output = "text";
    report_files written;
};

bool read_runs(const std::string& file, std::vector<measure::summary>& runs) {
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        std::cerr << file << ": can't be read\n";
        return false;
    }
    const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    auto read = report::from_json(text);
    if (!read) {
        std::cerr << file << ": " << read.error() << "\n";
        return false;
    }
    std::move(read->begin(), read->end(), std::back_inserter(runs));
    return true;
}

int run_report(const report_options& options) {
    std::vector<measure::summary> runs;
    for (const std::string& file : options.files) {
        if (!read_runs(file, runs)) {
            return misused;
        }
    }
    print_report(runs, options.output);
    return write_report_files(options.title, runs, options.written) ? succeeded : failed;
}

}  // namespace

void add_report(CLI::App& program, outcome& result) {
    auto options = std::make_shared<report_options>();
    CLI::App* command =
        program.add_subcommand("report", "Puts runs that `load --json` wrote side by side.");
    command->add_option("files", options->files, "Reports with samples.")->required();
    command->add_option("--title", options->title, "Heading of the HTML page.");
    command->add_option("--output", options->output, "text or json.")
        ->check(CLI::IsMember({"text", "json"}));
    command->add_option("--json", options->written.json, "Writes all runs as JSON to this file.");
    command->add_option("--html", options->written.html, "Writes the page to this file.");
    command->callback([options, &result] { result.code = run_report(*options); });
}

}  // namespace ferryroad::bench::commands
