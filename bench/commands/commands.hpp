/// @file
/// The subcommands of `ferrybench`, one source file each.
#pragma once

#include <CLI/CLI.hpp>

namespace ferryroad::bench::commands {

/// Exit codes shared by all subcommands.
enum exit_code : int {
    succeeded = 0,
    failed = 1,  ///< The run ended and found something wrong.
    misused = 2  ///< Bad flags or files: nothing was run.
};

/// Where a subcommand leaves its exit code for `main`.
struct outcome {
    int code = succeeded;
};

// Each adds one subcommand whose callback runs it. `result` outlives the parsing.
void add_workload(CLI::App& program, outcome& result);
void add_load(CLI::App& program, outcome& result);
void add_audit(CLI::App& program, outcome& result);
void add_report(CLI::App& program, outcome& result);
void add_simulate(CLI::App& program, outcome& result);

}  // namespace ferryroad::bench::commands
