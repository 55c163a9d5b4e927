#include "ferryroad/base/digest.hpp"
#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/field_reader.hpp"
#include "ferryroad/catalog/limits.hpp"
#include "ferryroad/catalog/names.hpp"
#include "ferryroad/catalog/validation.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <utility>

namespace ferryroad::catalog {

namespace {

namespace json = boost::json;

std::optional<json::value> parse(std::string_view text, std::vector<error>& faults) {
    json::parse_options options;
    options.max_depth = limits::json_depth;
    json::error_code failure;
    json::value value = json::parse(text, failure, {}, options);
    if (failure) {
        faults.push_back({error_code::malformed_json, "desired state", "", "",
                          "JSON (" + failure.message() + ")"});
        return std::nullopt;
    }
    return value;
}

std::string read_key_digest(field_reader& fields) {
    if (fields.has("key") && fields.has("key_sha256")) {
        fields.fail(error_code::invalid_value, "key_sha256", "either key or key_sha256, not both");
    }
    if (!fields.has("key")) {
        return fields.required_text("key_sha256");
    }
    const std::string key = fields.required_text("key");
    if (key.empty() && fields.holds_text("key")) {
        fields.fail(error_code::invalid_value, "key", "a bearer key that isn't empty");
    }
    fields.text("key_sha256", {});
    return base::sha256_hex(key);
}

tenant read_tenant(field_reader& fields) {
    tenant value;
    value.name = base::tenant_name(fields.required_text("name"));
    value.key_sha256 = read_key_digest(fields);
    value.limits.requests_per_second =
        fields.number("requests_per_second", value.limits.requests_per_second, limits::rate);
    value.limits.request_burst =
        fields.number("request_burst", value.limits.request_burst, limits::rate);
    value.limits.concurrent_requests = fields.count(
        "concurrent_requests", value.limits.concurrent_requests, limits::concurrent_requests);
    value.weight = fields.number("weight", value.weight, limits::weight);
    return value;
}

model read_model(field_reader& fields) {
    model value;
    value.name = base::model_name(fields.required_text("name"));
    value.version = base::weights_version(fields.required_text("version"));
    value.context_tokens =
        fields.count("context_tokens", value.context_tokens, limits::context_tokens);
    value.piece_bytes = fields.count("piece_bytes", value.piece_bytes, limits::piece_bytes);
    for (std::string& adapter : fields.text_list("adapters")) {
        value.adapters.emplace_back(std::move(adapter));
    }
    return value;
}

pool read_pool(field_reader& fields) {
    pool value;
    value.name = base::pool_name(fields.required_text("name"));
    const std::string kind = fields.text("kind", std::string(to_string(value.kind)));
    if (const auto parsed = parse_pool_kind(kind)) {
        value.kind = *parsed;
    } else {
        fields.fail(error_code::invalid_value, "kind", "model or application");
    }
    value.model = base::model_name(fields.text("model", {}));
    for (std::string& engine : fields.text_list("drained")) {
        value.drained.emplace_back(std::move(engine));
    }
    return value;
}

route read_route(field_reader& fields) {
    route value;
    value.name = base::route_name(fields.required_text("name"));
    value.path_prefix = fields.required_text("path_prefix");
    value.methods = fields.text_list("methods");
    value.pool = base::pool_name(fields.required_text("pool"));
    const std::string priority = fields.text("priority", std::string(to_string(value.priority)));
    if (const auto parsed = parse_priority(priority)) {
        value.priority = *parsed;
    } else {
        fields.fail(error_code::invalid_value, "priority", "low, normal or high");
    }
    value.repeatable = fields.boolean("repeatable", value.repeatable);
    const auto default_deadline = static_cast<std::uint32_t>(base::to_milliseconds(value.deadline));
    value.deadline = std::chrono::milliseconds(
        fields.count("deadline_ms", default_deadline, limits::deadline_milliseconds));
    value.recompute_price =
        fields.number("recompute_price", value.recompute_price, limits::recompute_price);
    value.retry_share = fields.number("retry_share", value.retry_share, limits::retry_share);
    value.hedge = fields.boolean("hedge", value.hedge);
    value.default_max_tokens =
        fields.count("default_max_tokens", value.default_max_tokens, limits::max_tokens);
    return value;
}

/// Reads one list of the desired state into `into` and reports names that occur more than once.
template <typename Resource, typename Map>
void read_list(field_reader& state, std::string_view list_name, resource_kind kind,
               Resource (*read)(field_reader&), Map& into, std::vector<error>& faults) {
    const json::array* values = state.list(list_name);
    if (values == nullptr) {
        return;
    }
    std::size_t index = 0;
    for (const json::value& value : *values) {
        const std::string position = std::string(list_name) + "[" + std::to_string(index++) + "]";
        const json::object* object = value.if_object();
        const json::value* name = object == nullptr ? nullptr : object->if_contains("name");
        const bool named = name != nullptr && name->is_string();
        const std::string resource =
            named ? make_key(kind, std::string_view(name->get_string())).value : position;
        field_reader fields(resource, value, faults);
        Resource declared = read(fields);
        fields.refuse_unknown_fields();
        auto key = declared.name;
        if (named && !into.emplace(key, std::move(declared)).second) {
            fields.fail(error_code::duplicate, "name",
                        "a name that no other " + std::string(to_string(kind)) + " has");
        }
    }
}

/// Reads one stored resource. Appends its faults to `faults`, which the caller must check.
template <typename Resource>
Resource read_stored(const resource_key& key, const json::value& value,
                     Resource (*read)(field_reader&), std::vector<error>& faults) {
    field_reader fields(key.value, value, faults);
    Resource stored = read(fields);
    if (const auto split = split_key(key); split && split->name != stored.name.value) {
        fields.fail(error_code::invalid_value, "name", "the name in the resource's key");
    }
    return stored;
}

template <typename Resource, typename Map>
leaf::result<void> put_stored(Map& into, const resource_key& key, const json::value& value,
                              Resource (*read)(field_reader&)) {
    std::vector<error> faults;
    Resource stored = read_stored(key, value, read, faults);
    if (!faults.empty()) {
        return leaf::new_error(invalid_catalog{std::move(faults)});
    }
    auto name = stored.name;
    into.insert_or_assign(std::move(name), std::move(stored));
    return {};
}

}  // namespace

leaf::result<catalog> decode_desired_state(std::string_view text) {
    std::vector<error> faults;
    catalog declared;
    if (const std::optional<json::value> value = parse(text, faults)) {
        field_reader state("desired state", *value, faults);
        read_list(state, "tenants", resource_kind::tenant, read_tenant, declared.tenants, faults);
        read_list(state, "models", resource_kind::model, read_model, declared.models, faults);
        read_list(state, "pools", resource_kind::pool, read_pool, declared.pools, faults);
        read_list(state, "routes", resource_kind::route, read_route, declared.routes, faults);
        state.refuse_unknown_fields();
    }
    if (faults.empty()) {
        faults = find_faults(declared);
    }
    if (!faults.empty()) {
        return leaf::new_error(invalid_catalog{std::move(faults)});
    }
    return declared;
}

leaf::result<void> put_resource(catalog& declared, const resource_key& key, std::string_view text) {
    std::vector<error> faults;
    const std::optional<resource_name> name = split_key(key);
    if (!name) {
        faults.push_back({error_code::invalid_value, key.value, "", "",
                          "a key that begins with tenant/, model/, pool/ or route/"});
    }
    const std::optional<json::value> value = parse(text, faults);
    if (!faults.empty()) {
        faults.front().resource = key.value;
        return leaf::new_error(invalid_catalog{std::move(faults)});
    }
    switch (name->kind) {
        case resource_kind::tenant:
            return put_stored(declared.tenants, key, *value, read_tenant);
        case resource_kind::model:
            return put_stored(declared.models, key, *value, read_model);
        case resource_kind::pool:
            return put_stored(declared.pools, key, *value, read_pool);
        case resource_kind::route:
            return put_stored(declared.routes, key, *value, read_route);
    }
    return {};
}

void remove_resource(catalog& declared, const resource_key& key) {
    const std::optional<resource_name> name = split_key(key);
    if (!name) {
        return;
    }
    switch (name->kind) {
        case resource_kind::tenant:
            declared.tenants.erase(base::tenant_name(name->name));
            return;
        case resource_kind::model:
            declared.models.erase(base::model_name(name->name));
            return;
        case resource_kind::pool:
            declared.pools.erase(base::pool_name(name->name));
            return;
        case resource_kind::route:
            declared.routes.erase(base::route_name(name->name));
            return;
    }
}

}  // namespace ferryroad::catalog
