/// @file
/// `ferrybench workload`: checks a workload file and says what it holds.
#include "bench/commands/commands.hpp"
#include "bench/workload/file.hpp"
#include "bench/workload/generator.hpp"

#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace ferryroad::bench::commands {

namespace {

struct workload_options {
    std::string file;
    std::uint64_t print = 0;
};

void print_request(const workload::workload_request& drawn) {
    std::cout << drawn.number << " at_ms=" << base::to_milliseconds(drawn.at)
              << " tenant=" << drawn.tenant << " kind=" << drawn.kind
              << " prompt_bytes=" << (drawn.prompt ? drawn.prompt->size() : 0)
              << " shared_bytes=" << drawn.shared_bytes << " max_tokens=" << drawn.max_tokens;
    if (drawn.key) {
        std::cout << " key=" << *drawn.key;
    }
    if (drawn.repeats) {
        std::cout << " repeats=" << *drawn.repeats;
    }
    std::cout << "\n";
}

int run_workload(const workload_options& options) {
    const auto read = workload::read_specification(options.file);
    if (!read) {
        std::cerr << options.file << ": " << read.error().message << "\n";
        return misused;
    }
    workload::generator source(*read);
    std::map<std::string, std::uint64_t> by_kind;
    while (const auto drawn = source.next()) {
        ++by_kind[drawn->kind];
        if (drawn->number < options.print) {
            print_request(*drawn);
        }
    }
    std::cout << read->name << ": " << read->requests << " requests\n";
    for (const auto& [kind, count] : by_kind) {
        std::cout << "  " << kind << ": " << count << "\n";
    }
    return succeeded;
}

}  // namespace

void add_workload(CLI::App& program, outcome& result) {
    auto options = std::make_shared<workload_options>();
    CLI::App* command =
        program.add_subcommand("workload", "Checks a workload file and counts its requests.");
    command->add_option("file", options->file, "Workload file (JSON).")->required();
    command->add_option("--print", options->print, "Prints the first N requests.");
    command->callback([options, &result] { result.code = run_workload(*options); });
}

}  // namespace ferryroad::bench::commands
