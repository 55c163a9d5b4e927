/// @file
/// Settings and main function of the program ferry-platform.
#pragma once

#include "emulator/platform/platform_model.hpp"
#include "ferryroad/settings/schema.hpp"

#include <cstdint>
#include <string>

namespace ferryroad::emulator {

/// Settings of ferry-platform, with their defaults.
struct platform_settings {
    base::endpoint listen;
    platform_options options;
    std::uint64_t seed = 1;  ///< Of the random call delays.
    std::string log_level = "info";
};

/// @return the schema that binds the settings to `target`, which must outlive it.
settings::schema describe(platform_settings& target);

/// Serves until SIGTERM or SIGINT, then closes its connections gracefully.
/// @return the program's exit code.
int run_platform(const platform_settings& settings);

}  // namespace ferryroad::emulator
