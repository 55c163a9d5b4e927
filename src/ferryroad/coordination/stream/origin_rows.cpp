#include "ferryroad/coordination/stream/origin_rows.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <map>
#include <span>
#include <utility>

namespace ferryroad::coordination::stream {

namespace {

namespace json = boost::json;

constexpr std::size_t number_digits = 16;  ///< Hexadecimal digits of a 64-bit number.
constexpr int hexadecimal = 16;

std::string to_hexadecimal(std::uint64_t number) {
    std::array<char, number_digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

std::optional<std::uint64_t> from_hexadecimal(std::string_view text) {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, hexadecimal);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
    return valid ? std::optional(number) : std::nullopt;
}

std::string to_text(const stream_key& key) {
    return to_hexadecimal(key.digest.high) + to_hexadecimal(key.digest.low);
}

std::optional<stream_key> to_key(std::string_view text) {
    if (text.size() != 2 * number_digits) {
        return std::nullopt;
    }
    const auto high = from_hexadecimal(text.substr(0, number_digits));
    const auto low = from_hexadecimal(text.substr(number_digits));
    return high && low ? std::optional(stream_key{{*high, *low}}) : std::nullopt;
}

std::string encode_row(std::span<const dated_origin> origins) {
    std::map<std::pair<base::pool_name, software_version>, json::object> streams;
    for (const dated_origin& one : origins) {
        streams[{one.origin.pool, one.origin.software}][to_text(one.origin.stream)] = one.began_at;
    }
    json::array groups;
    for (auto& [origin, began] : streams) {
        groups.push_back(json::object{{"pool", origin.first.value},
                                      {"software", origin.second.value},
                                      {"began_at_ms", std::move(began)}});
    }
    return json::serialize(groups);
}

void append_rows(std::span<const dated_origin> origins, std::size_t max_bytes,
                 std::vector<std::string>& rows) {
    std::string row = encode_row(origins);
    if (row.size() <= max_bytes) {
        rows.push_back(std::move(row));
    } else if (origins.size() > 1) {
        const std::size_t half = origins.size() / 2;
        append_rows(origins.first(half), max_bytes, rows);
        append_rows(origins.subspan(half), max_bytes, rows);
    }
}

bool append_group(const json::value& value, std::vector<dated_origin>& origins) {
    const json::object* group = value.if_object();
    const json::value* pool = group ? group->if_contains("pool") : nullptr;
    const json::value* software = group ? group->if_contains("software") : nullptr;
    const json::value* began = group ? group->if_contains("began_at_ms") : nullptr;
    if (!pool || !pool->is_string() || !software || !software->is_string() || !began ||
        !began->is_object()) {
        return false;
    }
    for (const auto& [text, time] : began->get_object()) {
        const auto key = to_key(text);
        if (!key || !time.is_int64()) {
            return false;
        }
        origins.push_back({{*key, base::pool_name(std::string(pool->get_string())),
                            software_version(std::string(software->get_string()))},
                           time.get_int64()});
    }
    return true;
}

}  // namespace

std::vector<std::string> encode_origin_rows(const std::vector<dated_origin>& origins,
                                            std::size_t max_bytes) {
    std::vector<std::string> rows;
    if (!origins.empty()) {
        append_rows(origins, max_bytes, rows);
    }
    return rows;
}

std::optional<std::vector<dated_origin>> decode_origin_row(std::string_view text) {
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::array* groups = failure ? nullptr : parsed.if_array();
    if (groups == nullptr) {
        return std::nullopt;
    }
    std::vector<dated_origin> origins;
    for (const json::value& one : *groups) {
        if (!append_group(one, origins)) {
            return std::nullopt;
        }
    }
    return origins;
}

std::string origin_row_key(store_clock_milliseconds written_at, const base::router_name& writer,
                           std::size_t index) {
    return first_origin_key(written_at) + writer.value + "/" + std::to_string(index);
}

std::string first_origin_key(store_clock_milliseconds time) {
    const auto positive = static_cast<std::uint64_t>(std::max<store_clock_milliseconds>(time, 0));
    return std::string(origin_row_prefix) + to_hexadecimal(positive) + "/";
}

}  // namespace ferryroad::coordination::stream
