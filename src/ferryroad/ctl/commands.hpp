/// @file
/// Runs ferryctl's commands.
#pragma once

#include "ferryroad/ctl/errors.hpp"
#include "ferryroad/ctl/options.hpp"

#include <iosfwd>

namespace ferryroad::ctl {

/// Runs one command. Prints its answer to `out`, or its error to `err`. @return the exit code.
exit_code run_command(const options& chosen, std::ostream& out, std::ostream& err);

}  // namespace ferryroad::ctl
