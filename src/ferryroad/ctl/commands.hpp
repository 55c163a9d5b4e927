/// @file
/// Runs one ferryctl command.
#pragma once

#include "ferryroad/ctl/errors.hpp"
#include "ferryroad/ctl/options.hpp"

#include <iosfwd>

namespace ferryroad::ctl {

/// Prints the answer to `out`, a failure to `err`. @return the exit code.
exit_code run_command(const options& chosen, std::ostream& out, std::ostream& err);

}  // namespace ferryroad::ctl
