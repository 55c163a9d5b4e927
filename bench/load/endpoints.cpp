#include "bench/load/endpoints.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>

#include <fstream>
#include <iterator>

namespace ferryroad::bench::load {

namespace {

/// Reads each object of the list `name` by `decode`; the first fault goes to `fields`.
template <typename Item, typename Decode>
std::vector<Item> read_items(http::object_reader& fields, std::string_view name, Decode decode) {
    std::vector<Item> items;
    for (const boost::json::value& value : fields.list(name)) {
        http::object_reader item(value, std::string(name));
        items.push_back(decode(item));
        if (item.fault()) {
            fields.fail(name, item.fault()->message);
        }
    }
    if (items.empty()) {
        fields.fail(name, "a list of at least one");
    }
    return items;
}

base::endpoint decode_address(http::object_reader& fields) {
    const auto parsed = base::endpoint::parse(fields.text("http"));
    if (!parsed) {
        fields.fail("http", "an IP number and a port");
        return {};
    }
    return *parsed;
}

engine_entry decode_engine(http::object_reader& fields) {
    const bool application = fields.text("kind") == "application";
    return {decode_address(fields),
            application ? engine::engine_kind::application : engine::engine_kind::model};
}

tenant_entry decode_tenant(http::object_reader& fields) {
    return {base::tenant_name(fields.text("name")), fields.text("key")};
}

route_entry decode_route(http::object_reader& fields) {
    return {fields.text("path"), fields.boolean_or("repeatable", true)};
}

}  // namespace

runtime::result<endpoints, error> parse_endpoints(std::string_view text) {
    const auto parsed = http::parse_json(text);
    if (!parsed) {
        return error{error_code::malformed, parsed.error().message};
    }
    http::object_reader fields(*parsed);
    endpoints decoded;
    decoded.routers = read_items<base::endpoint>(fields, "routers", decode_address);
    decoded.engines = read_items<engine_entry>(fields, "engines", decode_engine);
    decoded.tenants = read_items<tenant_entry>(fields, "tenants", decode_tenant);
    decoded.routes = read_items<route_entry>(fields, "routes", decode_route);
    for (const boost::json::value& model : fields.list("models")) {
        if (!model.is_string()) {
            fields.fail("models", "a list of texts");
            break;
        }
        decoded.models.emplace_back(std::string(model.get_string()));
    }
    if (fields.fault()) {
        return error{error_code::malformed, fields.fault()->message};
    }
    return decoded;
}

runtime::result<endpoints, error> read_endpoints(const std::string& file) {
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        return error{error_code::unreadable, "can't be read"};
    }
    const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    return parse_endpoints(text);
}

}  // namespace ferryroad::bench::load
