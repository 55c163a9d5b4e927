#include "ferryroad/settings/field.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace ferryroad::settings {

namespace {

namespace leaf = boost::leaf;
namespace json = boost::json;

std::string number_text(double number) {
    return number == std::floor(number) && std::abs(number) < 1e15
               ? std::to_string(static_cast<long long>(number))
               : json::serialize(json::value(number));
}

std::string expected_number(std::string_view kind, range bounds) {
    return std::string(kind) + " from " + number_text(bounds.least) + " to " +
           number_text(bounds.most);
}

std::optional<double> to_number(const json::value& value) {
    if (!value.is_number()) {
        return std::nullopt;
    }
    return value.to_number<double>();
}

bool within(double number, range bounds) {
    return number >= bounds.least && number <= bounds.most;
}

template <typename Integer>
value_reader integer_reader(Integer& target, range bounds) {
    return [&target, bounds](const json::value& value) -> leaf::result<void> {
        const auto number = to_number(value);
        if (!number || *number != std::floor(*number) || !within(*number, bounds)) {
            return leaf::new_error(expectation{expected_number("a whole number", bounds)});
        }
        target = static_cast<Integer>(*number);
        return {};
    };
}

/// Narrows bounds to the range of the target's type.
template <typename Integer>
range clamp_to_type(range bounds) {
    const auto most = static_cast<double>(std::numeric_limits<Integer>::max());
    return {std::max(bounds.least, 0.0), std::min(bounds.most, most)};
}

template <typename Integer>
field integer_field(std::string name, std::string description, Integer& target, range bounds) {
    const std::string initial = std::to_string(target);
    return {std::move(name),    std::move(description),
            "whole number",     initial,
            presence::optional, integer_reader(target, clamp_to_type<Integer>(bounds))};
}

leaf::result<base::endpoint> read_endpoint(const json::value& value) {
    if (const auto* text = value.if_string()) {
        if (auto parsed = base::endpoint::parse(std::string(text->c_str()))) {
            return *parsed;
        }
    }
    return leaf::new_error(expectation{"an IP number and port such as \"127.0.0.1:8080\""});
}

template <typename Element>
json::value to_json_array(const std::vector<Element>& elements) {
    json::array array;
    for (const Element& element : elements) {
        if constexpr (std::is_same_v<Element, base::endpoint>) {
            array.emplace_back(element.to_string());
        } else {
            array.emplace_back(element);
        }
    }
    return array;
}

std::string quoted(const std::string& text) {
    return json::serialize(json::value(text));
}

}  // namespace

std::string field::flag() const {
    std::string text = "--" + name;
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
}

field make_field(std::string name, std::string description, std::string& target) {
    auto read = [&target](const json::value& value) -> leaf::result<void> {
        const auto* text = value.if_string();
        if (text == nullptr) {
            return leaf::new_error(expectation{"a text"});
        }
        target = text->c_str();
        return {};
    };
    return {std::move(name), std::move(description), "text",
            quoted(target),  presence::optional,     std::move(read)};
}

field make_field(std::string name, std::string description, bool& target) {
    auto read = [&target](const json::value& value) -> leaf::result<void> {
        const auto* flag = value.if_bool();
        if (flag == nullptr) {
            return leaf::new_error(expectation{"true or false"});
        }
        target = *flag;
        return {};
    };
    return {std::move(name),           std::move(description), "true or false",
            target ? "true" : "false", presence::optional,     std::move(read)};
}

field make_field(std::string name, std::string description, double& target, range bounds) {
    auto read = [&target, bounds](const json::value& value) -> leaf::result<void> {
        const auto number = to_number(value);
        if (!number || !within(*number, bounds)) {
            return leaf::new_error(expectation{expected_number("a number", bounds)});
        }
        target = *number;
        return {};
    };
    return {std::move(name),     std::move(description), "number",
            number_text(target), presence::optional,     std::move(read)};
}

field make_field(std::string name, std::string description, std::uint16_t& target, range bounds) {
    return integer_field(std::move(name), std::move(description), target, bounds);
}

field make_field(std::string name, std::string description, std::uint32_t& target, range bounds) {
    return integer_field(std::move(name), std::move(description), target, bounds);
}

field make_field(std::string name, std::string description, std::uint64_t& target, range bounds) {
    return integer_field(std::move(name), std::move(description), target, bounds);
}

field make_field(std::string name, std::string description, base::duration& target, range bounds) {
    auto read = [&target, bounds](const json::value& value) -> leaf::result<void> {
        const auto number = to_number(value);
        if (!number || !within(*number, bounds)) {
            return leaf::new_error(
                expectation{expected_number("a number of milliseconds", bounds)});
        }
        target = base::from_seconds(*number / 1000.0);
        return {};
    };
    return {std::move(name),    std::move(description),
            "milliseconds",     std::to_string(base::to_milliseconds(target)),
            presence::optional, std::move(read)};
}

field make_field(std::string name, std::string description, base::endpoint& target) {
    auto read = [&target](const json::value& value) -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(target, read_endpoint(value));
        return {};
    };
    const std::string initial = target.address.empty() ? "" : quoted(target.to_string());
    return {std::move(name), std::move(description), "IP:PORT",
            initial,         presence::optional,     std::move(read)};
}

field make_field(std::string name, std::string description, std::vector<base::endpoint>& target) {
    auto read = [&target](const json::value& value) -> leaf::result<void> {
        const auto* list = value.if_array();
        if (list == nullptr) {
            return leaf::new_error(expectation{"a list of \"IP:PORT\""});
        }
        std::vector<base::endpoint> parsed;
        for (const json::value& element : *list) {
            BOOST_LEAF_AUTO(address, read_endpoint(element));
            parsed.push_back(address);
        }
        target = std::move(parsed);
        return {};
    };
    return {std::move(name),    std::move(description),
            "list of IP:PORT",  json::serialize(to_json_array(target)),
            presence::optional, std::move(read)};
}

field make_field(std::string name, std::string description, std::vector<std::string>& target) {
    auto read = [&target](const json::value& value) -> leaf::result<void> {
        const auto* list = value.if_array();
        if (list == nullptr) {
            return leaf::new_error(expectation{"a list of texts"});
        }
        std::vector<std::string> parsed;
        for (const json::value& element : *list) {
            const auto* text = element.if_string();
            if (text == nullptr) {
                return leaf::new_error(expectation{"a list of texts"});
            }
            parsed.emplace_back(text->c_str());
        }
        target = std::move(parsed);
        return {};
    };
    return {std::move(name),    std::move(description),
            "list of texts",    json::serialize(to_json_array(target)),
            presence::optional, std::move(read)};
}

field make_checked_list(std::string name, std::string description, std::vector<std::string>& target,
                        list_check check) {
    field made = make_field(std::move(name), std::move(description), target);
    made.read = [&target, read = std::move(made.read),
                 check = std::move(check)](const json::value& value) -> leaf::result<void> {
        std::vector<std::string> before = target;
        BOOST_LEAF_CHECK(read(value));
        if (auto expected = check(target)) {
            target = std::move(before);
            return leaf::new_error(expectation{std::move(*expected)});
        }
        return {};
    };
    return made;
}

field make_choice(std::string name, std::string description, std::string& target,
                  std::vector<std::string> choices) {
    std::string listed;
    for (const std::string& choice : choices) {
        listed += (listed.empty() ? "" : ", ") + choice;
    }
    const std::string initial = quoted(target);
    auto read = [&target, choices = std::move(choices),
                 listed](const json::value& value) -> leaf::result<void> {
        const auto* text = value.if_string();
        if (text == nullptr ||
            std::find(choices.begin(), choices.end(), text->c_str()) == choices.end()) {
            return leaf::new_error(expectation{"one of " + listed});
        }
        target = text->c_str();
        return {};
    };
    return {std::move(name), std::move(description), "one of " + listed,
            initial,         presence::optional,     std::move(read)};
}

}  // namespace ferryroad::settings
