#include "ferryroad/platform/json_codec.hpp"

#include "ferryroad/http/json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace ferryroad::platform {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;
using http::object_reader;

/// Encodes an object with a single member that holds a list, the shape of most bodies of the
/// protocol.
template <typename Item, typename Encode>
std::string encode_list(std::string_view name, const std::vector<Item>& items, Encode encode_one) {
    array list;
    list.reserve(items.size());
    for (const Item& item : items) {
        list.push_back(encode_one(item));
    }
    object body;
    body[name] = std::move(list);
    return http::to_text(body);
}

/// Decodes a member that is a list. The first fault is recorded in `reader` and ends the list.
template <typename Item, typename Decode>
std::vector<Item> read_list(object_reader& reader, std::string_view name, Decode decode_one) {
    std::vector<Item> items;
    const array& list = reader.list(name);
    items.reserve(list.size());
    for (const value& element : list) {
        object_reader element_reader(element, std::string(name));
        items.push_back(decode_one(element_reader));
        if (element_reader.fault()) {
            reader.fail(name, "no fault within it: " + element_reader.fault()->message);
            break;
        }
    }
    return items;
}

/// Decodes a body written by `encode_list`.
template <typename Item, typename Decode>
decoded<std::vector<Item>> decode_list(std::string_view body, std::string_view name,
                                       Decode decode_one) {
    const auto parsed = http::parse_json(body);
    if (!parsed) {
        return parsed.error();
    }
    object_reader reader(*parsed);
    if (reader.find(name) == nullptr) {
        reader.fail(name, "a list");
    }
    std::vector<Item> items = read_list<Item>(reader, name, decode_one);
    if (reader.fault()) {
        return *reader.fault();
    }
    return items;
}

object encode_condition(const row_condition& condition) {
    return {{"key", condition.key.value}, {"version", condition.version.value}};
}

row_condition decode_condition(object_reader& reader) {
    row_condition condition;
    condition.key.value = reader.text("key");
    condition.version.value = reader.unsigned_number("version");
    return condition;
}

object encode_write(const row_write& write) {
    object encoded;
    encoded["key"] = write.key.value;
    encoded["value"] = write.value ? value(*write.value) : value(nullptr);
    return encoded;
}

row_write decode_write(object_reader& reader) {
    if (reader.find("value") == nullptr) {
        reader.fail("value", "a string or null");
    }
    row_write write;
    write.key.value = reader.text("key");
    write.value = reader.optional_text("value");
    return write;
}

object encode_transaction(const transaction& one) {
    array conditions;
    for (const row_condition& condition : one.conditions) {
        conditions.push_back(encode_condition(condition));
    }
    array writes;
    for (const row_write& write : one.writes) {
        writes.push_back(encode_write(write));
    }
    return {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

transaction decode_transaction(object_reader& reader) {
    transaction one;
    one.conditions = read_list<row_condition>(reader, "conditions", decode_condition);
    one.writes = read_list<row_write>(reader, "writes", decode_write);
    return one;
}

object encode_row(const row& one) {
    return {{"key", one.key.value}, {"value", one.value}, {"version", one.version.value}};
}

row decode_row(object_reader& reader) {
    row one;
    one.key.value = reader.text("key");
    one.value = reader.text("value");
    one.version.value = reader.unsigned_number("version");
    return one;
}

object encode_outcome(const transaction_outcome& outcome) {
    object encoded;
    encoded["committed"] = outcome.committed;
    if (outcome.committed) {
        encoded["version"] = outcome.version.value;
    } else if (outcome.conflicting) {
        encoded["conflict"] = encode_row(*outcome.conflicting);
    }
    return encoded;
}

transaction_outcome decode_outcome(object_reader& reader) {
    transaction_outcome outcome;
    if (reader.find("committed") == nullptr) {
        reader.fail("committed", "true or false");
    }
    outcome.committed = reader.boolean_or("committed", false);
    if (outcome.committed) {
        outcome.version.value = reader.unsigned_number("version");
        return outcome;
    }
    const value* conflict = reader.find("conflict");
    if (conflict == nullptr) {
        reader.fail("conflict", "a row");
        return outcome;
    }
    object_reader row_reader(*conflict, "conflict");
    outcome.conflicting = decode_row(row_reader);
    if (row_reader.fault()) {
        reader.fail("conflict", "a row: " + row_reader.fault()->message);
    }
    return outcome;
}

object encode_machine_fields(const machine& one) {
    return {{"name", one.name},
            {"kind", one.kind == machine_kind::engine ? "engine" : "router"},
            {"address", one.address.to_string()},
            {"zone", one.zone.value},
            {"region", one.region.value},
            {"pool", one.pool},
            {"state", one.state == machine_state::live ? "live" : "leaving"}};
}

machine decode_machine_fields(object_reader& reader) {
    machine one;
    one.name = reader.text("name");
    const std::string kind = reader.text("kind");
    if (kind != "engine" && kind != "router") {
        reader.fail("kind", "engine or router");
    }
    one.kind = kind == "router" ? machine_kind::router : machine_kind::engine;
    const auto address = base::endpoint::parse(reader.text("address"));
    if (!address) {
        reader.fail("address", "an IP number and a port");
    }
    one.address = address.value_or(base::endpoint{});
    one.zone.value = reader.text("zone");
    one.region.value = reader.text_or("region", "");
    one.pool = reader.text_or("pool", "");
    const std::string state = reader.text_or("state", "live");
    if (state != "live" && state != "leaving") {
        reader.fail("state", "live or leaving");
    }
    one.state = state == "leaving" ? machine_state::leaving : machine_state::live;
    return one;
}

}  // namespace

std::string encode_transactions(const std::vector<transaction>& transactions) {
    return encode_list("transactions", transactions, encode_transaction);
}

decoded<std::vector<transaction>> decode_transactions(std::string_view body) {
    return decode_list<transaction>(body, "transactions", decode_transaction);
}

std::string encode_outcomes(const std::vector<transaction_outcome>& outcomes) {
    return encode_list("outcomes", outcomes, encode_outcome);
}

decoded<std::vector<transaction_outcome>> decode_outcomes(std::string_view body) {
    return decode_list<transaction_outcome>(body, "outcomes", decode_outcome);
}

std::string encode_keys(const std::vector<row_key>& keys) {
    return encode_list("keys", keys, [](const row_key& key) { return value(key.value); });
}

decoded<std::vector<row_key>> decode_keys(std::string_view body) {
    const auto parsed = http::parse_json(body);
    if (!parsed) {
        return parsed.error();
    }
    object_reader reader(*parsed);
    std::vector<row_key> keys;
    for (const value& element : reader.list("keys")) {
        const boost::json::string* text = element.if_string();
        if (text == nullptr) {
            reader.fail("keys", "a list of strings");
            break;
        }
        keys.emplace_back(std::string(text->data(), text->size()));
    }
    if (reader.fault()) {
        return *reader.fault();
    }
    return keys;
}

std::string encode_rows(const std::vector<row>& rows) {
    return encode_list("rows", rows, encode_row);
}

decoded<std::vector<row>> decode_rows(std::string_view body) {
    return decode_list<row>(body, "rows", decode_row);
}

std::string encode_machine(const machine& one) {
    return http::to_text(encode_machine_fields(one));
}

decoded<machine> decode_machine(std::string_view body) {
    const auto parsed = http::parse_json(body);
    if (!parsed) {
        return parsed.error();
    }
    object_reader reader(*parsed);
    machine one = decode_machine_fields(reader);
    if (reader.fault()) {
        return *reader.fault();
    }
    return one;
}

std::string encode_machines(const std::vector<machine>& machines) {
    return encode_list("machines", machines, encode_machine_fields);
}

decoded<std::vector<machine>> decode_machines(std::string_view body) {
    return decode_list<machine>(body, "machines", decode_machine_fields);
}

}  // namespace ferryroad::platform
