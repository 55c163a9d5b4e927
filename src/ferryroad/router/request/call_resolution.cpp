#include "ferryroad/router/request/call_resolution.hpp"

#include "ferryroad/base/digest.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace ferryroad::router {

namespace leaf = boost::leaf;

namespace {

leaf::error_id refuse(refusal_code code, std::string message) {
    return leaf::new_error(
        refusal{code, std::move(message), core::execution::execution_report::not_run, {}});
}

bool accepts_method(const catalog::route& route, std::string_view method) {
    return route.methods.empty() ||
           std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

/// Replaces the resolved route if `route` has a longer prefix. With equal prefixes the first
/// route by name stays.
void prefer_longer_prefix(resolved_call& resolved, const catalog::route& route,
                          const catalog::pool& pool) {
    if (!resolved.route || route.path_prefix.size() > resolved.route->path_prefix.size()) {
        resolved.route = &route;
        resolved.pool = &pool;
    }
}

/// Calls `accept` with each route that covers the path and method and with the route's pool.
template <typename Accept>
void for_each_route(const catalog::catalog& configuration, std::string_view path,
                    std::string_view method, Accept accept) {
    for (const auto& [name, route] : configuration.routes) {
        if (!covers_path(route.path_prefix, path) || !accepts_method(route, method)) {
            continue;
        }
        const auto pool = configuration.pools.find(route.pool);
        if (pool != configuration.pools.end()) {
            accept(route, pool->second);
        }
    }
}

std::uint32_t count_tokens(std::string_view prompt) {
    constexpr auto unit = core::prefix::bytes_per_token;
    return static_cast<std::uint32_t>((prompt.size() + unit - 1) / unit);
}

leaf::result<void> check_length(resolved_call& resolved, const generation_call& call) {
    const std::uint32_t context = resolved.model->context_tokens;
    resolved.prompt_tokens = count_tokens(*call.prompt);
    if (resolved.prompt_tokens >= context) {
        return refuse(refusal_code::prompt_too_long,
                      "The prompt has " + std::to_string(resolved.prompt_tokens) +
                          " tokens; the model's context holds " + std::to_string(context) + ".");
    }
    const std::uint32_t wanted = call.max_tokens.value_or(resolved.route->default_max_tokens);
    if (wanted == 0) {
        return refuse(refusal_code::invalid_request, "max_tokens must be at least 1.");
    }
    resolved.max_tokens = std::min(wanted, context - resolved.prompt_tokens);
    return {};
}

}  // namespace

bool covers_path(std::string_view prefix, std::string_view path) {
    path = path.substr(0, path.find('?'));
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.empty() || prefix.back() == '/' ||
           path[prefix.size()] == '/';
}

leaf::result<resolved_call> call_resolver::authenticate(
    std::shared_ptr<const catalog::catalog> configuration, std::string_view bearer_key) {
    if (indexed_ != configuration) {
        tenants_by_key_.clear();
        for (const auto& [name, tenant] : configuration->tenants) {
            tenants_by_key_.emplace(tenant.key_sha256, &tenant);
        }
        indexed_ = configuration;
    }
    const auto found = tenants_by_key_.find(base::sha256_hex(bearer_key));
    if (bearer_key.empty() || found == tenants_by_key_.end()) {
        return refuse(refusal_code::unauthorized, "No tenant has that key.");
    }
    resolved_call resolved;
    resolved.configuration = std::move(configuration);
    resolved.tenant = found->second;
    return resolved;
}

leaf::result<resolved_call> call_resolver::resolve(
    std::shared_ptr<const catalog::catalog> configuration, const generation_call& call) {
    BOOST_LEAF_AUTO(resolved, authenticate(std::move(configuration), call.bearer_key));
    const auto& models = resolved.configuration->models;
    const auto model = models.find(call.model);
    if (model == models.end()) {
        return refuse(refusal_code::unknown_model, "There is no model of that name.");
    }
    resolved.model = &model->second;
    const auto& adapters = resolved.model->adapters;
    const bool known_adapter =
        call.adapter.value.empty() ||
        std::find(adapters.begin(), adapters.end(), call.adapter) != adapters.end();
    if (!known_adapter) {
        return refuse(refusal_code::unknown_model, "The model has no adapter of that name.");
    }
    for_each_route(*resolved.configuration, call.path, "POST",
                   [&](const catalog::route& route, const catalog::pool& pool) {
                       if (pool.kind == catalog::pool_kind::model && pool.model == call.model) {
                           prefer_longer_prefix(resolved, route, pool);
                       }
                   });
    if (!resolved.route) {
        return refuse(refusal_code::unknown_route, "No route serves that model at this path.");
    }
    BOOST_LEAF_CHECK(check_length(resolved, call));
    return resolved;
}

leaf::result<resolved_call> call_resolver::resolve(
    std::shared_ptr<const catalog::catalog> configuration, const application_call& call) {
    BOOST_LEAF_AUTO(resolved, authenticate(std::move(configuration), call.bearer_key));
    for_each_route(*resolved.configuration, call.path, call.method,
                   [&](const catalog::route& route, const catalog::pool& pool) {
                       if (pool.kind == catalog::pool_kind::application) {
                           prefer_longer_prefix(resolved, route, pool);
                       }
                   });
    if (!resolved.route) {
        return refuse(refusal_code::unknown_route, "No route covers this path and method.");
    }
    return resolved;
}

}  // namespace ferryroad::router
