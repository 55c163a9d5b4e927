#include "ferryroad/http/json.hpp"

#include <boost/json/src.hpp>

#include <cmath>

namespace ferryroad::http {

namespace {

constexpr std::size_t max_depth = 32;

error malformed(std::string message) {
    return error{error_code::malformed, std::move(message)};
}

std::optional<double> to_double(const boost::json::value& value) {
    if (value.is_double()) {
        return value.get_double();
    }
    if (value.is_int64()) {
        return static_cast<double>(value.get_int64());
    }
    if (value.is_uint64()) {
        return static_cast<double>(value.get_uint64());
    }
    return std::nullopt;
}

}  // namespace

runtime::result<boost::json::value, error> parse_json(std::string_view text) {
    boost::json::parse_options options;
    options.max_depth = max_depth;
    boost::json::parser parser({}, options);
    boost::system::error_code failure;
    const std::size_t parsed = parser.write_some(text.data(), text.size(), failure);
    if (!failure && parsed < text.size()) {
        failure = boost::json::error::extra_data;
    }
    if (failure) {
        return malformed("JSON fault at byte " + std::to_string(parsed) + ": " + failure.message());
    }
    return parser.release();
}

std::optional<std::uint64_t> to_unsigned(const boost::json::value& value) {
    if (value.is_uint64()) {
        return value.get_uint64();
    }
    if (value.is_int64() && value.get_int64() >= 0) {
        return static_cast<std::uint64_t>(value.get_int64());
    }
    return std::nullopt;
}

std::string to_text(const boost::json::value& value) {
    return boost::json::serialize(value);
}

object_reader::object_reader(const boost::json::value& value, std::string path)
    : object_(value.if_object()), path_(std::move(path)) {
    if (object_ == nullptr) {
        fault_ = malformed((path_.empty() ? "body" : "field \"" + path_ + "\"") +
                           std::string(": expected an object"));
    }
}

void object_reader::fail(std::string_view name, std::string_view expected) {
    if (fault_) {
        return;
    }
    const std::string prefix = path_.empty() ? "" : path_ + ".";
    fault_ = malformed("field \"" + prefix + std::string(name) + "\": expected " +
                       std::string(expected));
}

const boost::json::value* object_reader::find(std::string_view name) const {
    return object_ == nullptr ? nullptr : object_->if_contains(name);
}

std::string object_reader::text(std::string_view name) {
    auto found = optional_text(name);
    if (!found) {
        fail(name, "a string");
        return {};
    }
    return std::move(*found);
}

std::string object_reader::text_or(std::string_view name, std::string fallback) {
    auto found = optional_text(name);
    return found ? std::move(*found) : std::move(fallback);
}

std::optional<std::string> object_reader::optional_text(std::string_view name) {
    const boost::json::value* member = find(name);
    if (member == nullptr || member->is_null()) {
        return std::nullopt;
    }
    const boost::json::string* string = member->if_string();
    if (string == nullptr) {
        fail(name, "a string");
        return std::nullopt;
    }
    return std::string(string->data(), string->size());
}

std::uint64_t object_reader::unsigned_number(std::string_view name) {
    const boost::json::value* member = find(name);
    const auto number = member == nullptr ? std::nullopt : to_unsigned(*member);
    if (!number) {
        fail(name, "a whole number of at least 0");
    }
    return number.value_or(0);
}

std::uint64_t object_reader::unsigned_or(std::string_view name, std::uint64_t fallback) {
    return find(name) == nullptr ? fallback : unsigned_number(name);
}

double object_reader::number(std::string_view name) {
    const boost::json::value* member = find(name);
    const auto found = member == nullptr ? std::nullopt : to_double(*member);
    if (!found || !std::isfinite(*found)) {
        fail(name, "a number");
        return 0.0;
    }
    return *found;
}

double object_reader::number_or(std::string_view name, double fallback) {
    return find(name) == nullptr ? fallback : number(name);
}

bool object_reader::boolean_or(std::string_view name, bool fallback) {
    const boost::json::value* member = find(name);
    if (member == nullptr) {
        return fallback;
    }
    const bool* boolean = member->if_bool();
    if (boolean == nullptr) {
        fail(name, "true or false");
        return fallback;
    }
    return *boolean;
}

const boost::json::array& object_reader::list(std::string_view name) {
    static const boost::json::array none;
    const boost::json::value* member = find(name);
    if (member == nullptr) {
        return none;
    }
    const boost::json::array* array = member->if_array();
    if (array == nullptr) {
        fail(name, "a list");
        return none;
    }
    return *array;
}

}  // namespace ferryroad::http
