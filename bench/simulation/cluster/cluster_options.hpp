/// @file
/// What a simulated system is built of.
#pragma once

#include "bench/simulation/callers/caller_population.hpp"
#include "bench/simulation/network/network.hpp"
#include "emulator/engine/application_model.hpp"
#include "emulator/engine/model_types.hpp"
#include "emulator/platform/platform_model.hpp"
#include "ferryroad/catalog/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::bench::simulation {

struct cluster_options {
    std::uint64_t seed = 1;
    std::uint32_t routers = 3;
    std::uint32_t engines = 6;
    std::uint32_t application_engines = 2;
    std::uint32_t zones = 3;
    std::string policy = "cost";
    double clock_rate_error = 0.001;
    std::vector<base::tenant_name> tenants;
    emulator::engine_model_settings engine;  ///< The name is set by the cluster.
    emulator::application_model_settings application;
    emulator::platform_options platform;
    network_settings links;
    caller_habits callers;
    double recompute_price = 2.0;
    base::duration deadline = std::chrono::seconds(60);  ///< Of every route.
};

/// Names that the simulated configuration uses.
struct cluster_names {
    base::model_name model{"model"};
    base::pool_name model_pool{"models"};
    base::pool_name application_pool{"applications"};
    base::route_name generation{"generation"};
    base::route_name readings{"readings"};  ///< May be repeated.
    base::route_name records{"records"};    ///< May not be repeated.
};

/// @return the configuration that the simulated operators begin with.
catalog::catalog make_catalog(const cluster_options& options);

}  // namespace ferryroad::bench::simulation
