/// @file
/// The program ferry-engine, from checked settings to the end of its planned stop.
#pragma once

#include "emulator/engine/engine_settings.hpp"

namespace ferryroad::emulator {

/// Serves until SIGTERM or SIGINT, then finishes the running attempts.
/// @return the program's exit code.
int run_engine(const engine_settings& settings);

}  // namespace ferryroad::emulator
