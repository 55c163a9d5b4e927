/// @file
/// The program ferrybench: load generation, audits and simulations. Subcommands are in
/// bench/commands/.
#include "bench/commands/commands.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
    using namespace ferryroad::bench;
    CLI::App program("Load and experiment tool of ferryroad.", "ferrybench");
    program.require_subcommand(1);
    commands::outcome result;
    commands::add_workload(program, result);
    commands::add_load(program, result);
    commands::add_audit(program, result);
    commands::add_report(program, result);
    commands::add_simulate(program, result);
    try {
        program.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return program.exit(error) == 0 ? commands::succeeded : commands::misused;
    }
    return result.code;
}
