#include "ferryroad/operator/messages/catalog_codec.hpp"

#include "ferryroad/catalog/resource_key.hpp"
#include "ferryroad/catalog/validation.hpp"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace ferryroad::operators {

namespace {

namespace leaf = boost::leaf;

void encode_tenant(const catalog::tenant& tenant, v1::Tenant& into) {
    into.set_name(tenant.name.value);
    into.set_key_sha256(tenant.key_sha256);
    into.set_requests_per_second(tenant.limits.requests_per_second);
    into.set_request_burst(tenant.limits.request_burst);
    into.set_concurrent_requests(tenant.limits.concurrent_requests);
    into.set_weight(tenant.weight);
}

catalog::tenant decode_tenant(const v1::Tenant& message) {
    catalog::tenant tenant;
    tenant.name = base::tenant_name(message.name());
    tenant.key_sha256 = message.key_sha256();
    tenant.limits.requests_per_second = message.requests_per_second();
    tenant.limits.request_burst = message.request_burst();
    tenant.limits.concurrent_requests = message.concurrent_requests();
    if (message.weight() != 0) {
        tenant.weight = message.weight();
    }
    return tenant;
}

void encode_model(const catalog::model& model, v1::Model& into) {
    into.set_name(model.name.value);
    into.set_version(model.version.value);
    into.set_context_tokens(model.context_tokens);
    into.set_piece_bytes(model.piece_bytes);
    for (const base::adapter_name& adapter : model.adapters) {
        into.add_adapters(adapter.value);
    }
}

catalog::model decode_model(const v1::Model& message) {
    catalog::model model;
    model.name = base::model_name(message.name());
    model.version = base::weights_version(message.version());
    if (message.context_tokens() != 0) {
        model.context_tokens = message.context_tokens();
    }
    if (message.piece_bytes() != 0) {
        model.piece_bytes = message.piece_bytes();
    }
    for (const std::string& adapter : message.adapters()) {
        model.adapters.emplace_back(adapter);
    }
    return model;
}

void encode_pool(const catalog::pool& pool, v1::Pool& into) {
    into.set_name(pool.name.value);
    into.set_kind(pool.kind == catalog::pool_kind::model ? v1::POOL_KIND_MODEL
                                                         : v1::POOL_KIND_APPLICATION);
    into.set_model(pool.model.value);
    for (const base::engine_name& engine : pool.drained) {
        into.add_drained_engines(engine.value);
    }
}

catalog::pool decode_pool(const v1::Pool& message) {
    catalog::pool pool;
    pool.name = base::pool_name(message.name());
    pool.kind = message.kind() == v1::POOL_KIND_APPLICATION ? catalog::pool_kind::application
                                                            : catalog::pool_kind::model;
    pool.model = base::model_name(message.model());
    for (const std::string& engine : message.drained_engines()) {
        pool.drained.emplace_back(engine);
    }
    return pool;
}

v1::Priority encode_priority(catalog::request_priority priority) {
    switch (priority) {
        case catalog::request_priority::low:
            return v1::PRIORITY_LOW;
        case catalog::request_priority::normal:
            return v1::PRIORITY_NORMAL;
        case catalog::request_priority::high:
            return v1::PRIORITY_HIGH;
    }
    return v1::PRIORITY_NORMAL;
}

catalog::request_priority decode_priority(v1::Priority priority) {
    switch (priority) {
        case v1::PRIORITY_LOW:
            return catalog::request_priority::low;
        case v1::PRIORITY_HIGH:
            return catalog::request_priority::high;
        default:
            return catalog::request_priority::normal;
    }
}

void encode_route(const catalog::route& route, v1::Route& into) {
    into.set_name(route.name.value);
    into.set_path_prefix(route.path_prefix);
    for (const std::string& method : route.methods) {
        into.add_methods(method);
    }
    into.set_pool(route.pool.value);
    into.set_priority(encode_priority(route.priority));
    into.set_repeatable(route.repeatable);
    into.set_deadline_milliseconds(
        static_cast<std::uint64_t>(base::to_milliseconds(route.deadline)));
    into.set_recompute_price(route.recompute_price);
    into.set_retry_share(route.retry_share);
    into.set_hedge(route.hedge);
    into.set_default_max_tokens(route.default_max_tokens);
}

catalog::route decode_route(const v1::Route& message) {
    catalog::route route;
    route.name = base::route_name(message.name());
    route.path_prefix = message.path_prefix();
    route.methods.assign(message.methods().begin(), message.methods().end());
    route.pool = base::pool_name(message.pool());
    route.priority = decode_priority(message.priority());
    route.repeatable = message.repeatable();
    if (message.deadline_milliseconds() != 0) {
        route.deadline = std::chrono::milliseconds(message.deadline_milliseconds());
    }
    route.recompute_price = message.recompute_price();
    route.retry_share = message.retry_share();
    route.hedge = message.hedge();
    if (message.default_max_tokens() != 0) {
        route.default_max_tokens = message.default_max_tokens();
    }
    return route;
}

/// Decodes one list of resources and reports names that occur more than once.
template <typename Messages, typename Decode, typename Map>
void decode_list(const Messages& messages, catalog::resource_kind kind, Decode decode, Map& into,
                 std::vector<catalog::error>& faults) {
    for (const auto& message : messages) {
        auto declared = decode(message);
        auto name = declared.name;
        if (!into.emplace(name, std::move(declared)).second) {
            faults.push_back({catalog::error_code::duplicate,
                              catalog::make_key(kind, name.value).value, "name", name.value,
                              "a name that comes once"});
        }
    }
}

v1::ChangeKind change_kind(const catalog::difference& difference) {
    if (!difference.before) {
        return v1::CHANGE_KIND_ADDED;
    }
    return difference.after ? v1::CHANGE_KIND_CHANGED : v1::CHANGE_KIND_REMOVED;
}

}  // namespace

void encode_state(const catalog::catalog& declared, v1::DesiredState& into) {
    for (const auto& [name, tenant] : declared.tenants) {
        encode_tenant(tenant, *into.add_tenants());
    }
    for (const auto& [name, model] : declared.models) {
        encode_model(model, *into.add_models());
    }
    for (const auto& [name, pool] : declared.pools) {
        encode_pool(pool, *into.add_pools());
    }
    for (const auto& [name, route] : declared.routes) {
        encode_route(route, *into.add_routes());
    }
}

leaf::result<catalog::catalog> decode_state(const v1::DesiredState& state) {
    using catalog::resource_kind;
    catalog::catalog declared;
    std::vector<catalog::error> faults;
    decode_list(state.tenants(), resource_kind::tenant, decode_tenant, declared.tenants, faults);
    decode_list(state.models(), resource_kind::model, decode_model, declared.models, faults);
    decode_list(state.pools(), resource_kind::pool, decode_pool, declared.pools, faults);
    decode_list(state.routes(), resource_kind::route, decode_route, declared.routes, faults);
    for (catalog::error& fault : catalog::find_faults(declared)) {
        faults.push_back(std::move(fault));
    }
    if (!faults.empty()) {
        return leaf::new_error(catalog::invalid_catalog{std::move(faults)});
    }
    return declared;
}

void encode_differences(const std::vector<catalog::difference>& differences,
                        google::protobuf::RepeatedPtrField<v1::ResourceDifference>& into) {
    for (const catalog::difference& difference : differences) {
        v1::ResourceDifference& message = *into.Add();
        message.set_kind(change_kind(difference));
        message.set_resource(difference.resource.value);
        message.set_before(difference.before.value_or(""));
        message.set_after(difference.after.value_or(""));
    }
}

}  // namespace ferryroad::operators
