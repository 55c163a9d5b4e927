/// @file
/// The resources that operators declare: tenants, models, pools and routes.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::catalog {

/// Limits of a tenant across all routers; 0 means unlimited.
struct tenant_limits {
    double requests_per_second = 0;
    double request_burst = 0;  ///< Requests accepted at once before the rate applies.
    std::uint32_t concurrent_requests = 0;
};

struct tenant {
    base::tenant_name name;
    std::string key_sha256;  ///< Of the bearer key, 64 hex digits.
    tenant_limits limits;
    double weight =
        1.0;  ///< Share of the capacity, relative to other tenants, while requests queue.
};

struct model {
    base::model_name name;
    base::weights_version version;  ///< Version of the weights that serves requests.
    std::uint32_t context_tokens = 32768;
    std::uint32_t piece_bytes = core::prefix::default_piece_bytes;
    std::vector<base::adapter_name> adapters;
};

enum class pool_kind { model, application };

/// A group of engines. An engine belongs to the pool in its entry of the machine list.
struct pool {
    base::pool_name name;
    pool_kind kind = pool_kind::model;
    base::model_name model;                  ///< Empty for application pools.
    std::vector<base::engine_name> drained;  ///< Engines that get no new requests.
};

enum class request_priority { low, normal, high };

/// Handling of requests by path and method. Of the matching routes (for generation, those whose
/// pool serves the model), the one with the longest path prefix applies; of equals, the first by
/// name.
struct route {
    base::route_name name;
    std::string path_prefix;
    std::vector<std::string> methods;  ///< Empty: all methods.
    base::pool_name pool;
    request_priority priority = request_priority::normal;
    bool repeatable = true;  ///< False: a request is executed at most once.
    base::duration deadline = std::chrono::seconds(60);
    /// Cost, in seconds, of one second of avoidable prefill when engines are compared.
    double recompute_price = 2.0;
    /// Retry budget: retries allowed per answered request, e.g. 0.1.
    double retry_share = 0.1;
    bool hedge = false;
    std::uint32_t default_max_tokens = 128;
};

/// All declared resources at one revision. Immutable once shared.
struct catalog {
    base::revision revision;
    std::map<base::tenant_name, tenant> tenants;
    std::map<base::model_name, model> models;
    std::map<base::pool_name, pool> pools;
    std::map<base::route_name, route> routes;
};

}  // namespace ferryroad::catalog
