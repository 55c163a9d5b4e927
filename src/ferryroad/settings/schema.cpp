#include "ferryroad/settings/schema.hpp"

#include <CLI/CLI.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

namespace ferryroad::settings {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr const char* command_line_source = "command line";

/// Parses a flag's text as JSON (numbers, lists); text that isn't JSON is taken as a string.
json::value flag_value(const std::string& text) {
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    return failure ? json::value(text) : parsed;
}

/// Stores the value in the field's target. @return the error, or nothing on success.
std::optional<error> take(const field& target, const std::string& source,
                          const json::value& value) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<error>> {
            BOOST_LEAF_CHECK(target.read(value));
            return std::optional<error>{};
        },
        [&](const expectation& expected) {
            return std::optional<error>(
                error{source, target.name, json::serialize(value), expected.text});
        },
        [&] {
            return std::optional<error>(
                error{source, target.name, json::serialize(value), target.type});
        });
}

/// Stores a flag's value. A string setting also accepts text that parses as a number, such as the
/// version "7".
std::optional<error> take_flag(const field& target, const std::string& text) {
    const auto refused = take(target, command_line_source, flag_value(text));
    return refused ? take(target, command_line_source, json::value(text)) : refused;
}

}  // namespace

std::string error::to_string() const {
    std::string text = source;
    if (!field.empty()) {
        text += ": field \"" + field + "\"";
    }
    if (!value.empty()) {
        text += ": value " + value;
    }
    return text + ": expected " + expected;
}

schema::schema(std::string program, std::string description)
    : program_(std::move(program)), description_(std::move(description)) {}

void schema::append(field added, presence need) {
    added.need = need;
    fields_.push_back(std::move(added));
}

const field* schema::find(std::string_view name) const {
    for (const field& candidate : fields_) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

std::optional<error> schema::apply(const std::string& source, const json::object& values) {
    for (const auto& entry : values) {
        const field* known = find(entry.key());
        if (known == nullptr) {
            return error{source, std::string(entry.key()), json::serialize(entry.value()),
                         "a setting of " + program_ + " (see --help)"};
        }
        if (auto refused = take(*known, source, entry.value())) {
            return refused;
        }
    }
    return std::nullopt;
}

outcome schema::read(int argument_count, const char* const* arguments) {
    CLI::App application(description_, program_);
    std::string file;
    bool check = false;
    bool print_schema = false;
    application.add_option("--settings", file, "JSON file with settings; flags go over it.");
    application.add_flag("--check", check, "Check the settings and end.");
    application.add_flag("--print-schema", print_schema, "Print the settings reference and end.");
    std::map<std::string, std::string> flags;
    for (const field& known : fields_) {
        application.add_option(known.flag(), flags[known.name],
                               known.description + " [" + known.type + "]");
    }
    try {
        application.parse(argument_count, arguments);
    } catch (const CLI::ParseError& failure) {
        const int code = application.exit(failure);
        return {code == 0 ? 0 : exit_bad_settings, {}};
    }
    if (print_schema) {
        std::cout << reference();
        return {0, {}};
    }

    const auto refuse = [](const error& refused) {
        std::cerr << refused.to_string() << '\n';
        return outcome{exit_bad_settings, {}};
    };
    given_fields given;
    if (!file.empty()) {
        if (const auto refused = take_file(file, given)) {
            return refuse(*refused);
        }
    }
    for (const field& known : fields_) {
        if (application.count(known.flag()) > 0) {
            if (const auto refused = take_flag(known, flags[known.name])) {
                return refuse(*refused);
            }
            given.insert(known.name);
        }
    }
    if (const auto missing = first_missing(file.empty() ? command_line_source : file, given)) {
        return refuse(*missing);
    }
    if (check) {
        std::cout << "settings are valid\n";
        return {0, {}};
    }
    return {std::nullopt, std::move(file)};
}

std::optional<error> schema::take_file(const std::string& file, given_fields& given) {
    std::ifstream stream(file);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) {
        return error{file, "", "", "a readable file"};
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return error{file, "", "", "a JSON object"};
    }
    for (const auto& entry : parsed.get_object()) {
        given.insert(std::string(entry.key()));
    }
    return apply(file, parsed.get_object());
}

std::optional<error> schema::first_missing(const std::string& source,
                                           const given_fields& given) const {
    for (const field& known : fields_) {
        if (known.need == presence::required && !given.contains(known.name)) {
            return error{source, known.name, "", known.type + " (required)"};
        }
    }
    return std::nullopt;
}

std::optional<error> schema::load(const std::string& file) {
    given_fields given;
    if (auto refused = take_file(file, given)) {
        return refused;
    }
    return first_missing(file, given);
}

std::string schema::reference() const {
    std::ostringstream text;
    text << "| setting | flag | type | default | meaning |\n|---|---|---|---|---|\n";
    for (const field& known : fields_) {
        const std::string initial =
            known.need == presence::required ? "required" : "`" + known.initial + "`";
        text << "| `" << known.name << "` | `" << known.flag() << "` | " << known.type << " | "
             << initial << " | " << known.description << " |\n";
    }
    return text.str();
}

}  // namespace ferryroad::settings
