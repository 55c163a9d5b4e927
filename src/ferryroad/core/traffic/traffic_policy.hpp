/// @file
/// Traffic policy declared by operators: routes by host and path, weighted pools, tenants with API
/// keys, and limits for callers. Each version is one immutable value.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::traffic {

/// How a request may be retried if its outcome is unknown.
enum class request_kind {
    safe,      ///< May run more than once.
    unsafe,    ///< Runs at most once.
    streaming  ///< Answered by numbered events; resumed only if the route is `resumable`.
};

/// Weight of a pool in the distribution of a route's requests.
struct pool_share {
    base::pool_name pool;
    std::uint32_t weight = 1;

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

struct route {
    base::route_name name;
    std::string host;
    std::string path_prefix;  ///< Begins and ends with a slash.
    request_kind kind = request_kind::unsafe;
    base::duration timeout{};         ///< Maximum time until a request ends.
    base::duration target_latency{};  ///< Latency target for answers.
    base::duration target_gap{};      ///< Longest acceptable gap between two events of a stream.
    std::uint32_t priority = 0;       ///< 0 is the highest priority.
    std::vector<pool_share> pools;    ///< At least one.
    std::uint32_t attempts = 1;       ///< Maximum number of engines that a request may run on.
    bool is_public = false;           ///< Requests need no key.
    bool resumable = false;           ///< A broken stream may continue at another engine.

    friend bool operator==(const route&, const route&) = default;
};

/// Capacity of the engines of a pool that runs a model.
struct model_engine_capacity {
    std::uint32_t slots = 1;               ///< Maximum number of concurrent requests per engine.
    std::uint64_t kv_capacity_tokens = 0;  ///< Size of an engine's KV cache in tokens.
    double kv_token_bytes = 0;             ///< Size of one token in the KV cache, in bytes.

    friend bool operator==(const model_engine_capacity&, const model_engine_capacity&) = default;
};

struct pool {
    base::pool_name name;
    std::uint32_t connection_limit = 0;  ///< Limit of one engine over all its clients; 0: none.
    std::optional<model_engine_capacity> model;  ///< Nothing for application services.

    friend bool operator==(const pool&, const pool&) = default;
};

/// External store for KV cache state, shared by engines.
struct state_store {
    base::endpoint address;
    base::zone_name zone;

    friend bool operator==(const state_store&, const state_store&) = default;
};

/// Unit of a tenant's quota.
enum class quota_unit {
    requests,  ///< Each request counts 1.
    tokens     ///< Each request counts the tokens of its prompt and its expected answer.
};

/// Quota of a tenant over all routers together.
struct tenant_quota {
    quota_unit unit = quota_unit::requests;
    double per_second = 0;             ///< Rate in `unit` per second, above 0.
    double burst = 0;                  ///< Burst beyond the rate, in `unit`.
    std::uint64_t default_tokens = 0;  ///< Tokens counted for a request that declares none.

    friend bool operator==(const tenant_quota&, const tenant_quota&) = default;
};

/// @param declared_tokens tokens of the request's prompt and expected answer, if it declares them.
/// @return the amount that a request counts against the quota. Thread-safe.
double quota_amount(const tenant_quota& quota, std::optional<std::uint64_t> declared_tokens);

struct tenant {
    base::tenant_name name;
    std::vector<std::string> keys;          ///< API keys.
    std::optional<std::uint32_t> priority;  ///< Overrides the priority of the route.
    bool isolated = false;                  ///< Shares no cached prompt state with other tenants.
    std::optional<tenant_quota> quota;      ///< Nothing: no limit.

    friend bool operator==(const tenant&, const tenant&) = default;
};

struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    base::duration header_read = std::chrono::seconds(3);
    base::duration idle = std::chrono::seconds(15);

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Contents of a traffic policy, as decoded.
struct declaration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<pool> pools;
    std::vector<state_store> stores;
    std::vector<tenant> tenants;  ///< Empty: no request needs a key.
    caller_limits limits;

    friend bool operator==(const declaration&, const declaration&) = default;
};

/// A declaration with its lookup tables. Immutable after construction, and therefore thread-safe.
class traffic_policy {
  public:
    /// @param declared with unique names; a route's pools need not all exist.
    explicit traffic_policy(declaration declared);

    std::uint64_t version() const { return m_declared.version; }
    const declaration& declared() const { return m_declared; }

    /// @param path path without the query.
    /// @return the host's route with the longest prefix of the path, or null. The pointer is valid
    /// as long as the policy.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// @return the tenant with the API key, or null. The pointer is valid as long as the policy.
    const tenant* find_tenant(std::string_view key) const;
    /// @return the pool with the name, or null. The pointer is valid as long as the policy.
    const pool* find_pool(const base::pool_name& name) const;
    /// @return whether requests on the route must carry a key.
    bool needs_key(const route& on) const;
    /// @return the name of the cached prompt state that all tenants but the isolated ones share. It
    /// differs between policies whose isolated tenants differ: what a tenant made before it was
    /// isolated is no longer shared.
    const std::string& shared_state_name() const { return m_shared_state_name; }

    friend bool operator==(const traffic_policy& left, const traffic_policy& right) {
        return left.m_declared == right.m_declared;
    }

  private:
    declaration m_declared;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_of_host;
    std::unordered_map<std::string, std::size_t> m_tenant_of_key;
    std::string m_shared_state_name;
};

/// Distributes a route's requests over its pools by smooth weighted round robin, which follows the
/// weights in any sequence of requests. Not thread-safe.
class weighted_rotation {
  public:
    /// @param pools at least one. A change of the weights starts a new rotation.
    /// @return the pool of the next request.
    const base::pool_name& next(const std::vector<pool_share>& pools);

  private:
    std::vector<pool_share> m_pools;
    std::vector<std::int64_t> m_credits;
};

}  // namespace ferryroad::core::traffic
