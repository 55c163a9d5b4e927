#include "bench/workload/field_reader.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cmath>
#include <sstream>
#include <utility>

namespace ferryroad::bench::workload {

namespace {

const boost::json::value missing_value;
const boost::json::array empty_list;

std::string describe(number_range range, std::string_view what) {
    std::ostringstream text;
    text << what << " of at least " << range.least;
    if (range.most < std::numeric_limits<double>::max()) {
        text << " and at most " << range.most;
    }
    return text.str();
}

}  // namespace

field_reader::field_reader(const boost::json::value& value, std::string path, fault_record& faults)
    : object_(value.if_object()), path_(std::move(path)), faults_(faults) {
    if (object_ == nullptr && !faults_.first) {
        faults_.first = error{error_code::invalid, "field \"" + path_ + "\": expected an object"};
    }
}

std::string field_reader::path_of(std::string_view name) const {
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void field_reader::fail(std::string_view name, std::string_view expected) {
    if (faults_.first) {
        return;
    }
    const boost::json::value* found = object_ == nullptr ? nullptr : object_->if_contains(name);
    const std::string value = found == nullptr ? "missing" : boost::json::serialize(*found);
    faults_.first = error{error_code::invalid, "field \"" + path_of(name) + "\": value " + value +
                                                   ": expected " + std::string(expected)};
}

const boost::json::value* field_reader::take(std::string_view name, bool required) {
    asked_.emplace(name);
    const boost::json::value* found = object_ == nullptr ? nullptr : object_->if_contains(name);
    if (found == nullptr && required) {
        fail(name, "a value");
    }
    return found;
}

std::string field_reader::text(std::string_view name) {
    const boost::json::value* found = take(name, true);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || found->get_string().empty()) {
        fail(name, "a text");
        return {};
    }
    return std::string(found->get_string());
}

std::optional<std::string> field_reader::optional_text(std::string_view name) {
    if (take(name, false) == nullptr) {
        return std::nullopt;
    }
    return text(name);
}

double field_reader::number(std::string_view name, number_range range) {
    const boost::json::value* found = take(name, true);
    if (found == nullptr) {
        return range.least;
    }
    const double value = found->is_number() ? found->to_number<double>() : std::nan("");
    if (!(value >= range.least && value <= range.most)) {
        fail(name, describe(range, "a number"));
        return range.least;
    }
    return value;
}

double field_reader::number_or(std::string_view name, double fallback, number_range range) {
    return take(name, false) == nullptr ? fallback : number(name, range);
}

std::uint64_t field_reader::whole(std::string_view name, number_range range) {
    const double value = number(name, range);
    if (value != std::floor(value)) {
        fail(name, describe(range, "a whole number"));
        return static_cast<std::uint64_t>(range.least);
    }
    return static_cast<std::uint64_t>(value);
}

std::uint64_t field_reader::whole_or(std::string_view name, std::uint64_t fallback,
                                     number_range range) {
    return take(name, false) == nullptr ? fallback : whole(name, range);
}

bool field_reader::flag_or(std::string_view name, bool fallback) {
    const boost::json::value* found = take(name, false);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        fail(name, "true or false");
        return fallback;
    }
    return found->get_bool();
}

base::duration field_reader::milliseconds(std::string_view name) {
    constexpr number_range hours{0, 1e8};
    return base::from_seconds(number_or(name, 0, hours) / std::milli::den);
}

const boost::json::array& field_reader::list(std::string_view name) {
    const boost::json::array& found = list_or_empty(name);
    if (found.empty()) {
        fail(name, "a list of at least one");
    }
    return found;
}

const boost::json::array& field_reader::list_or_empty(std::string_view name) {
    const boost::json::value* found = take(name, false);
    if (found == nullptr) {
        return empty_list;
    }
    if (!found->is_array()) {
        fail(name, "a list");
        return empty_list;
    }
    return found->get_array();
}

field_reader field_reader::object(std::string_view name) {
    const boost::json::value* found = take(name, true);
    return {found == nullptr ? missing_value : *found, path_of(name), faults_};
}

void field_reader::refuse_unknown() {
    if (object_ == nullptr) {
        return;
    }
    for (const auto& member : *object_) {
        const std::string_view name(member.key().data(), member.key().size());
        if (!asked_.contains(name)) {
            fail(name, "no such field");
        }
    }
}

}  // namespace ferryroad::bench::workload
