/// @file
/// The router process: real adapters around a `router::node`, from start to planned stop.
#pragma once

#include "ferryroad/daemon/daemon_settings.hpp"

namespace ferryroad::daemon {

/// Serves until SIGTERM or SIGINT, then finishes every request at work and ends.
/// @return the program's exit code.
int run_daemon(const daemon_settings& settings);

}  // namespace ferryroad::daemon
