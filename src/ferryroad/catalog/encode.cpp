#include "ferryroad/catalog/codec.hpp"
#include "ferryroad/catalog/names.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>

namespace ferryroad::catalog {

namespace {

namespace json = boost::json;

/// Writes whole numbers without an exponent, for readability.
json::value number(double value) {
    constexpr double largest_exact = 9007199254740992.0;
    if (value == std::floor(value) && std::abs(value) < largest_exact) {
        return static_cast<std::int64_t>(value);
    }
    return value;
}

template <typename Ids>
json::array id_list(const Ids& ids) {
    json::array values;
    for (const auto& id : ids) {
        values.emplace_back(id.value);
    }
    return values;
}

json::object to_object(const tenant& value) {
    return {{"name", value.name.value},
            {"key_sha256", value.key_sha256},
            {"requests_per_second", number(value.limits.requests_per_second)},
            {"request_burst", number(value.limits.request_burst)},
            {"concurrent_requests", value.limits.concurrent_requests},
            {"weight", number(value.weight)}};
}

json::object to_object(const model& value) {
    return {{"name", value.name.value},
            {"version", value.version.value},
            {"context_tokens", value.context_tokens},
            {"piece_bytes", value.piece_bytes},
            {"adapters", id_list(value.adapters)}};
}

json::object to_object(const pool& value) {
    json::object object{{"name", value.name.value}, {"kind", to_string(value.kind)}};
    if (value.kind == pool_kind::model) {
        object["model"] = value.model.value;
    }
    object["drained"] = id_list(value.drained);
    return object;
}

json::object to_object(const route& value) {
    json::array methods;
    for (const std::string& method : value.methods) {
        methods.emplace_back(method);
    }
    return {{"name", value.name.value},
            {"path_prefix", value.path_prefix},
            {"methods", std::move(methods)},
            {"pool", value.pool.value},
            {"priority", to_string(value.priority)},
            {"repeatable", value.repeatable},
            {"deadline_ms", base::to_milliseconds(value.deadline)},
            {"recompute_price", number(value.recompute_price)},
            {"retry_share", number(value.retry_share)},
            {"hedge", value.hedge},
            {"default_max_tokens", value.default_max_tokens}};
}

template <typename Map>
void add_resources(resource_texts& texts, resource_kind kind, const Map& declared) {
    for (const auto& [name, value] : declared) {
        texts.emplace(make_key(kind, name.value), encode(value));
    }
}

/// Writes one resource per line, so that files can be read and compared with `diff`.
template <typename Map>
std::string list_text(std::string_view list_name, const Map& declared) {
    std::string text = "  \"" + std::string(list_name) + "\": [";
    bool first = true;
    for (const auto& [name, value] : declared) {
        text += first ? "\n    " : ",\n    ";
        text += encode(value);
        first = false;
    }
    return text + (first ? "]" : "\n  ]");
}

}  // namespace

std::string encode(const tenant& value) {
    return json::serialize(to_object(value));
}

std::string encode(const model& value) {
    return json::serialize(to_object(value));
}

std::string encode(const pool& value) {
    return json::serialize(to_object(value));
}

std::string encode(const route& value) {
    return json::serialize(to_object(value));
}

resource_texts encode_resources(const catalog& declared) {
    resource_texts texts;
    add_resources(texts, resource_kind::tenant, declared.tenants);
    add_resources(texts, resource_kind::model, declared.models);
    add_resources(texts, resource_kind::pool, declared.pools);
    add_resources(texts, resource_kind::route, declared.routes);
    return texts;
}

std::string encode_desired_state(const catalog& declared) {
    return "{\n" + list_text("tenants", declared.tenants) + ",\n" +
           list_text("models", declared.models) + ",\n" + list_text("pools", declared.pools) +
           ",\n" + list_text("routes", declared.routes) + "\n}\n";
}

}  // namespace ferryroad::catalog
