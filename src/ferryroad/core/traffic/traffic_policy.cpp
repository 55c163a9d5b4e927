#include "ferryroad/core/traffic/traffic_policy.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace ferryroad::core::traffic {

double quota_amount(const tenant_quota& quota, std::optional<std::uint64_t> declared_tokens) {
    if (quota.unit == quota_unit::requests) {
        return 1;
    }
    return static_cast<double>(declared_tokens.value_or(quota.default_tokens));
}

namespace {

/// @return a name that depends on which tenants are isolated, and not on their order.
std::string shared_state_name_for(const std::vector<tenant>& tenants) {
    std::set<std::string> isolated;
    for (const tenant& one : tenants) {
        if (one.isolated) {
            isolated.insert(one.name.value);
        }
    }
    if (isolated.empty()) {
        return "shared";
    }
    std::uint64_t digest = 0;
    for (const std::string& name : isolated) {
        digest = base::hash_pair(digest, base::hash_bytes(name));
    }
    return "shared-" + std::to_string(digest);
}

}  // namespace

traffic_policy::traffic_policy(declaration declared) : m_declared(std::move(declared)) {
    for (std::size_t index = 0; index < m_declared.routes.size(); ++index) {
        m_routes_of_host[m_declared.routes[index].host].push_back(index);
    }
    for (auto& [host, indexes] : m_routes_of_host) {
        std::stable_sort(indexes.begin(), indexes.end(),
                         [this](std::size_t left, std::size_t right) {
                             return m_declared.routes[left].path_prefix.size() >
                                    m_declared.routes[right].path_prefix.size();
                         });
    }
    for (std::size_t index = 0; index < m_declared.tenants.size(); ++index) {
        for (const std::string& key : m_declared.tenants[index].keys) {
            m_tenant_of_key.emplace(key, index);
        }
    }
    m_shared_state_name = shared_state_name_for(m_declared.tenants);
}

const route* traffic_policy::find_route(std::string_view host, std::string_view path) const {
    const auto found = m_routes_of_host.find(std::string(host));
    if (found == m_routes_of_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const route& one = m_declared.routes[index];
        if (path.starts_with(one.path_prefix)) {
            return &one;
        }
    }
    return nullptr;
}

const tenant* traffic_policy::find_tenant(std::string_view key) const {
    const auto found = m_tenant_of_key.find(std::string(key));
    return found == m_tenant_of_key.end() ? nullptr : &m_declared.tenants[found->second];
}

const pool* traffic_policy::find_pool(const base::pool_name& name) const {
    const auto found = std::find_if(m_declared.pools.begin(), m_declared.pools.end(),
                                    [&](const pool& one) { return one.name == name; });
    return found == m_declared.pools.end() ? nullptr : &*found;
}

bool traffic_policy::needs_key(const route& on) const {
    return !m_declared.tenants.empty() && !on.is_public;
}

const base::pool_name& weighted_rotation::next(const std::vector<pool_share>& pools) {
    if (m_pools != pools) {
        m_pools = pools;
        m_credits.assign(pools.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < m_pools.size(); ++index) {
        total += m_pools[index].weight;
        m_credits[index] += m_pools[index].weight;
        if (m_credits[index] > m_credits[chosen]) {
            chosen = index;
        }
    }
    m_credits[chosen] -= total;
    return m_pools[chosen].pool;
}

}  // namespace ferryroad::core::traffic
