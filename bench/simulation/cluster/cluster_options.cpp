#include "bench/simulation/cluster/cluster_options.hpp"

#include "bench/simulation/cluster/router_front.hpp"
#include "ferryroad/base/digest.hpp"

namespace ferryroad::bench::simulation {

namespace {

catalog::route make_route(const base::route_name& name, const std::string& path,
                          const base::pool_name& pool, const cluster_options& options) {
    catalog::route route;
    route.name = name;
    route.path_prefix = path;
    route.pool = pool;
    route.deadline = options.deadline;
    route.recompute_price = options.recompute_price;
    return route;
}

void add_route(catalog::catalog& declared, const catalog::route& route) {
    declared.routes.emplace(route.name, route);
}

void add_pools(catalog::catalog& declared, const cluster_names& names) {
    catalog::pool models;
    models.name = names.model_pool;
    models.model = names.model;
    declared.pools.emplace(models.name, models);
    catalog::pool applications;
    applications.name = names.application_pool;
    applications.kind = catalog::pool_kind::application;
    declared.pools.emplace(applications.name, applications);
}

}  // namespace

catalog::catalog make_catalog(const cluster_options& options) {
    const cluster_names names;
    catalog::catalog declared;
    for (const base::tenant_name& name : options.tenants) {
        catalog::tenant tenant;
        tenant.name = name;
        tenant.key_sha256 = base::sha256_hex(bearer_key_of(name));
        declared.tenants.emplace(name, tenant);
    }
    catalog::model model;
    model.name = names.model;
    model.version = options.engine.version;
    model.context_tokens = options.engine.context_tokens;
    model.piece_bytes = options.engine.piece_bytes;
    declared.models.emplace(model.name, model);
    add_pools(declared, names);
    add_route(declared, make_route(names.generation, "/v1", names.model_pool, options));
    add_route(declared, make_route(names.readings, "/readings", names.application_pool, options));
    catalog::route records = make_route(names.records, "/records", names.application_pool, options);
    records.repeatable = false;
    add_route(declared, records);
    return declared;
}

}  // namespace ferryroad::bench::simulation
