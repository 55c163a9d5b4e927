/// JSON errors name the field or the byte offset; percent-encoding round trip.
#include "ferryroad/http/json.hpp"

#include "ferryroad/http/message.hpp"
#include "test/http/loopback.hpp"

#include <rapidcheck.h>

using namespace ferryroad;

namespace {

struct row {
    const char* text;
    const char* fault;  ///< Part of the error message; empty: no error.
};

const std::vector<row>& rows() {
    static const std::string deep = std::string(100, '[') + std::string(100, ']');
    static const std::vector<row> table = {
        {R"({"name":"a","count":1,"rate":0.5,"on":true,"list":[1]})", ""},
        {R"({"name":"a","count":1,"rate":2})", ""},
        {R"({"name":"a")", "byte 11"},
        {R"({"name":"a"} x)", "byte"},
        {"", "byte 0"},
        {deep.c_str(), "byte 32"},
        {"[]", "body: expected an object"},
        {R"({"count":1,"rate":1})", R"(field "name")"},
        {R"({"name":3,"count":1,"rate":1})", R"(field "name")"},
        {R"({"name":"a","count":-1,"rate":1})", R"(field "count")"},
        {R"({"name":"a","count":1.5,"rate":1})", R"(field "count")"},
        {R"({"name":"a","count":1,"rate":"1"})", R"(field "rate")"},
        {R"({"name":"a","count":1,"rate":1,"on":1})", R"(field "on")"},
        {R"({"name":"a","count":1,"rate":1,"list":{}})", R"(field "list")"},
    };
    return table;
}

std::string fault_of(const char* text) {
    const auto value = http::parse_json(text);
    if (!value) {
        return value.error().message;
    }
    http::object_reader reader(*value);
    reader.text("name");
    reader.unsigned_number("count");
    reader.number("rate");
    reader.boolean_or("on", false);
    reader.list("list");
    return reader.fault() ? reader.fault()->message : "";
}

}  // namespace

ParameterizedTestParameters(json, faults) {
    return test::row_indexes(rows().size());
}

ParameterizedTest(std::size_t* index, json, faults) {
    const row& given = rows()[*index];
    const std::string fault = fault_of(given.text);
    if (*given.fault == '\0') {
        cr_assert(fault.empty(), "%s gave %s", given.text, fault.c_str());
    } else {
        cr_assert(fault.find(given.fault) != std::string::npos, "%s gave %s", given.text,
                  fault.c_str());
    }
}

Test(json, decoding_reverses_component_encoding) {
    cr_assert(rc::check("decode(encode(x)) is x, also in a query", [](const std::string& text) {
        const std::string encoded = http::encode_component(text);
        http::request message;
        message.target = "/path?other=1&key=" + encoded + "&last";
        RC_ASSERT(http::decode_component(encoded) == text);
        RC_ASSERT(message.query("key") == text);
        RC_ASSERT(message.query("last") == std::string());
        RC_ASSERT(!message.query("absent"));
    }));
}
