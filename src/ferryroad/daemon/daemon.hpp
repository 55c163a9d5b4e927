/// @file
/// Runs a router process: a `router::node` with the network adapters that it needs.
#pragma once

#include "ferryroad/daemon/daemon_settings.hpp"

namespace ferryroad::daemon {

/// Serves until SIGTERM or SIGINT. Then it accepts no new requests, waits up to `stop_grace` for
/// the requests in progress, and ends.
/// @return the program's exit code: 1 where an address can't be listened on, else 0.
int run_daemon(const daemon_settings& settings);

}  // namespace ferryroad::daemon
