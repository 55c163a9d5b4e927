/// @file
/// The program ferry-platform apart from its settings' reading.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/settings/schema.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::emulator {

struct platform_settings {
    base::endpoint listen;
    platform_options options;
    std::uint64_t seed = 1;  ///< Of the calls' times.
    std::string log_level = "info";
};

/// @return the settings' schema; `target` outlives it.
settings::schema describe(platform_settings& target);

/// Serves until SIGTERM or SIGINT, then stops in a planned way. @return the exit code.
int run_platform(const platform_settings& settings);

}  // namespace ferryroad::emulator
