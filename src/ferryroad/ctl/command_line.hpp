/// @file
/// ferryctl's command line, by CLI11.
#pragma once

#include "ferryroad/ctl/options.hpp"

#include <iosfwd>
#include <string>
#include <variant>

namespace ferryroad::ctl {

/// @return the options, or the exit code where help was printed or the usage was bad.
std::variant<options, int> read_command_line(int argc, const char* const* argv, std::ostream& out,
                                             std::ostream& err);

/// @return a script for `source <(ferryctl completion bash)`, made from the command line's
/// own description.
std::string bash_completion();

}  // namespace ferryroad::ctl
