/// @file
/// Parses ferryctl's command line with CLI11.
#pragma once

#include "ferryroad/ctl/options.hpp"

#include <iosfwd>
#include <string>
#include <variant>

namespace ferryroad::ctl {

/// @return the options, or the exit code where help was printed or the usage was invalid.
std::variant<options, int> read_command_line(int argc, const char* const* argv, std::ostream& out,
                                             std::ostream& err);

/// @return a script for `source <(ferryctl completion bash)`, generated from the declared
/// commands and options.
std::string bash_completion();

}  // namespace ferryroad::ctl
