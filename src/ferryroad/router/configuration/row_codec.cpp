#include "ferryroad/router/configuration/row_codec.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace ferryroad::router {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
using namespace coordination::configuration;

leaf::result<json::value> parse(std::string_view text) {
    auto parsed = http::parse_json(text);
    if (!parsed) {
        return leaf::new_error(row_error{parsed.error().message});
    }
    return std::move(*parsed);
}

leaf::result<void> check(const http::object_reader& reader) {
    if (reader.fault()) {
        return leaf::new_error(row_error{reader.fault()->message});
    }
    return {};
}

leaf::result<recorded_operation> decode_operation(const json::value& value) {
    http::object_reader reader(value, "recent");
    recorded_operation entry{operation_id(reader.text("operation")),
                             base::revision(reader.unsigned_number("revision"))};
    BOOST_LEAF_CHECK(check(reader));
    return entry;
}

leaf::result<resource_change> decode_resource(const json::value& value) {
    http::object_reader reader(value, "resources");
    resource_change resource{resource_key(reader.text("key")), reader.optional_text("value")};
    BOOST_LEAF_CHECK(check(reader));
    return resource;
}

json::object encode_resource(const resource_change& resource) {
    json::object object{{"key", resource.key.value}};
    if (resource.value) {
        object["value"] = *resource.value;
    }
    return object;
}

}  // namespace

std::string encode_head(const head_row& head) {
    json::array recent;
    for (const recorded_operation& entry : head.recent) {
        recent.push_back(
            json::object{{"operation", entry.operation.value}, {"revision", entry.revision.value}});
    }
    return json::serialize(json::object{{"revision", head.revision.value},
                                        {"snapshot", head.snapshot.value},
                                        {"recent", std::move(recent)}});
}

leaf::result<head_row> decode_head(std::string_view text) {
    BOOST_LEAF_AUTO(value, parse(text));
    http::object_reader reader(value, "head");
    head_row head;
    head.revision = base::revision(reader.unsigned_number("revision"));
    head.snapshot = base::revision(reader.unsigned_number("snapshot"));
    for (const json::value& entry : reader.list("recent")) {
        BOOST_LEAF_AUTO(operation, decode_operation(entry));
        head.recent.push_back(std::move(operation));
    }
    BOOST_LEAF_CHECK(check(reader));
    return head;
}

std::string encode_change(const change& added) {
    json::array resources;
    for (const resource_change& resource : added.resources) {
        resources.push_back(encode_resource(resource));
    }
    return json::serialize(json::object{{"revision", added.revision.value},
                                        {"operation", added.operation.value},
                                        {"author", added.author.value},
                                        {"resources", std::move(resources)}});
}

leaf::result<change> decode_change(std::string_view text) {
    BOOST_LEAF_AUTO(value, parse(text));
    http::object_reader reader(value, "change");
    change added;
    added.revision = base::revision(reader.unsigned_number("revision"));
    added.operation = operation_id(reader.text("operation"));
    added.author = author_name(reader.text("author"));
    for (const json::value& entry : reader.list("resources")) {
        BOOST_LEAF_AUTO(resource, decode_resource(entry));
        added.resources.push_back(std::move(resource));
    }
    BOOST_LEAF_CHECK(check(reader));
    return added;
}

std::string encode_snapshot(const snapshot& state) {
    json::array content;
    for (const auto& [key, value] : state.content) {
        content.push_back(encode_resource({key, value}));
    }
    return json::serialize(
        json::object{{"revision", state.revision.value}, {"resources", std::move(content)}});
}

leaf::result<snapshot> decode_snapshot(std::string_view text) {
    BOOST_LEAF_AUTO(value, parse(text));
    http::object_reader reader(value, "snapshot");
    snapshot decoded;
    decoded.revision = base::revision(reader.unsigned_number("revision"));
    for (const json::value& entry : reader.list("resources")) {
        BOOST_LEAF_AUTO(resource, decode_resource(entry));
        if (resource.value) {
            decoded.content.insert_or_assign(std::move(resource.key), std::move(*resource.value));
        }
    }
    BOOST_LEAF_CHECK(check(reader));
    return decoded;
}

}  // namespace ferryroad::router
