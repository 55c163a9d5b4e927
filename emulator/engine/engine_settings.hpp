/// @file
/// Settings of the program ferry-engine.
#pragma once

#include "emulator/engine/application_model.hpp"
#include "emulator/engine/model_types.hpp"
#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/settings/schema.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::emulator {

/// Settings of ferry-engine. The defaults suit the demonstration.
struct engine_settings {
    base::endpoint listen;
    std::string kind = "model";
    base::zone_name zone;
    base::region_name region;
    base::pool_name pool;
    std::uint64_t incarnation = 0;  ///< 0 takes the milliseconds since 1970 at startup.
    base::endpoint platform;        ///< Without a port, the engine doesn't register itself.
    std::vector<std::string> adapters;
    std::uint32_t decode_sequence_cost_us = 200;
    engine_model_settings engine;  ///< Includes name, model and version.
    application_model_settings application;
    std::string log_level = "info";
};

/// Binds each field to its JSON name and flag. `target` outlives the schema.
settings::schema describe(engine_settings& target);

/// @return the model's settings, including those that the schema reads into other fields.
engine_model_settings model_settings(const engine_settings& settings);

}  // namespace ferryroad::emulator
