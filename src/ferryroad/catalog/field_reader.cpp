#include "ferryroad/catalog/field_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <utility>

namespace ferryroad::catalog {

namespace {

std::string number_text(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

std::string range_text(std::string_view kind, number_range range) {
    return std::string(kind) + " from " + number_text(range.least) + " to " +
           number_text(range.greatest);
}

bool within(double value, number_range range) {
    return value >= range.least && value <= range.greatest;
}

}  // namespace

field_reader::field_reader(std::string resource, const boost::json::value& value,
                           std::vector<error>& faults)
    : resource_(std::move(resource)), object_(value.if_object()), faults_(faults) {
    if (object_ == nullptr) {
        faults_.push_back({error_code::wrong_type, resource_, "", boost::json::serialize(value),
                           "a JSON object"});
    }
}

const boost::json::value* field_reader::take(std::string_view name) {
    known_.emplace(name);
    return object_ == nullptr ? nullptr : object_->if_contains(name);
}

bool field_reader::has(std::string_view name) const {
    return object_ != nullptr && object_->contains(name);
}

bool field_reader::holds_text(std::string_view name) const {
    const boost::json::value* found = object_ == nullptr ? nullptr : object_->if_contains(name);
    return found != nullptr && found->is_string();
}

void field_reader::fail(error_code code, std::string_view name, std::string expected) {
    const boost::json::value* found = object_ == nullptr ? nullptr : object_->if_contains(name);
    faults_.push_back({code, resource_, std::string(name),
                       found == nullptr ? std::string() : boost::json::serialize(*found),
                       std::move(expected)});
}

std::string field_reader::required_text(std::string_view name) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        if (object_ != nullptr) {
            fail(error_code::missing_field, name, "a string");
        }
        return {};
    }
    return text(name, {});
}

std::string field_reader::text(std::string_view name, std::string fallback) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        return fallback;
    }
    const boost::json::string* string = found->if_string();
    if (string == nullptr) {
        fail(error_code::wrong_type, name, "a string");
        return fallback;
    }
    return std::string(*string);
}

double field_reader::number(std::string_view name, double fallback, number_range range) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_number()) {
        fail(error_code::wrong_type, name, range_text("a number", range));
        return fallback;
    }
    const double value = found->to_number<double>();
    if (!within(value, range)) {
        fail(error_code::invalid_value, name, range_text("a number", range));
        return fallback;
    }
    return value;
}

std::uint32_t field_reader::count(std::string_view name, std::uint32_t fallback,
                                  number_range range) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_number()) {
        fail(error_code::wrong_type, name, range_text("a whole number", range));
        return fallback;
    }
    const double value = found->to_number<double>();
    if (!within(value, range) || value != std::floor(value)) {
        fail(error_code::invalid_value, name, range_text("a whole number", range));
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

bool field_reader::boolean(std::string_view name, bool fallback) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        fail(error_code::wrong_type, name, "true or false");
        return fallback;
    }
    return found->get_bool();
}

const boost::json::array* field_reader::list(std::string_view name) {
    const boost::json::value* found = take(name);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_array()) {
        fail(error_code::wrong_type, name, "a list");
        return nullptr;
    }
    return &found->get_array();
}

std::vector<std::string> field_reader::text_list(std::string_view name) {
    std::vector<std::string> texts;
    const boost::json::array* values = list(name);
    if (values == nullptr) {
        return texts;
    }
    for (const boost::json::value& value : *values) {
        const boost::json::string* string = value.if_string();
        if (string == nullptr) {
            fail(error_code::wrong_type, name, "a list of strings");
            return {};
        }
        texts.emplace_back(*string);
    }
    return texts;
}

void field_reader::refuse_unknown_fields() {
    if (object_ == nullptr) {
        return;
    }
    std::string names;
    for (const std::string& name : known_) {
        names += (names.empty() ? "" : ", ") + name;
    }
    for (const auto& member : *object_) {
        if (!known_.contains(member.key())) {
            fail(error_code::unknown_field, member.key(), "one of: " + names);
        }
    }
}

}  // namespace ferryroad::catalog
