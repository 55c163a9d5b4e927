/// @file
/// The running system as `scripts/stack` describes it in endpoints.json.
#pragma once

#include "bench/load/errors.hpp"
#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/engine/types.hpp"
#include "ferryroad/runtime/task.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::bench::load {

struct engine_entry {
    base::endpoint http;
    engine::engine_kind kind{};
};

struct tenant_entry {
    base::tenant_name name;
    std::string key;  ///< Bearer key.
};

struct route_entry {
    std::string path;
    bool repeatable = true;
};

struct endpoints {
    std::vector<base::endpoint> routers;  ///< Callers' addresses.
    std::vector<engine_entry> engines;
    std::vector<base::model_name> models;
    std::vector<tenant_entry> tenants;
    std::vector<route_entry> routes;
};

runtime::result<endpoints, error> parse_endpoints(std::string_view text);
runtime::result<endpoints, error> read_endpoints(const std::string& file);

}  // namespace ferryroad::bench::load
