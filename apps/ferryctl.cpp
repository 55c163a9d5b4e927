/// The program ferryctl: command-line client for operators.
#include "ferryroad/ctl/command_line.hpp"
#include "ferryroad/ctl/commands.hpp"

#include <iostream>
#include <variant>

int main(int argc, char** argv) {
    using namespace ferryroad;
    const auto read = ctl::read_command_line(argc, argv, std::cout, std::cerr);
    if (const int* exit_code = std::get_if<int>(&read)) {
        return *exit_code;
    }
    return static_cast<int>(ctl::run_command(std::get<ctl::options>(read), std::cout, std::cerr));
}
