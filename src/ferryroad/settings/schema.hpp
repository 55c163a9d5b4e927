/// @file
/// A program's settings: declared once, read from a JSON file and from command-line flags, checked
/// completely before the program starts, and printed as the settings reference.
#pragma once

#include "ferryroad/settings/errors.hpp"
#include "ferryroad/settings/field.hpp"

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ferryroad::settings {

/// Exit code of a program whose settings are invalid.
inline constexpr int exit_bad_settings = 2;

/// Result of reading the settings. The program continues where `exit_code` is empty, else it ends
/// with that code (after `--help`, `--check`, `--print-schema` or an invalid setting).
struct outcome {
    std::optional<int> exit_code;
    std::string file;  ///< The settings file; empty where only flags were given.
};

/// Declares and reads a program's settings. The targets of its fields must outlive it. Not
/// thread-safe.
class schema {
  public:
    schema(std::string program, std::string description);

    template <typename Target>
    void add(std::string name, std::string description, Target& target,
             presence need = presence::optional) {
        if constexpr (std::is_arithmetic_v<Target> && !std::is_same_v<Target, bool>) {
            add(std::move(name), std::move(description), target, range{0, 1e18}, need);
        } else if constexpr (std::is_same_v<Target, base::duration>) {
            add(std::move(name), std::move(description), target, range{0, 1e9}, need);
        } else {
            append(make_field(std::move(name), std::move(description), target), need);
        }
    }
    template <typename Target>
    void add(std::string name, std::string description, Target& target, range bounds,
             presence need = presence::optional) {
        append(make_field(std::move(name), std::move(description), target, bounds), need);
    }
    template <typename Tag>
    void add(std::string name, std::string description, base::strong_id<Tag, std::string>& target,
             presence need = presence::optional) {
        append(make_field(std::move(name), std::move(description), target.value), need);
    }
    void add_choice(std::string name, std::string description, std::string& target,
                    std::vector<std::string> choices, presence need = presence::optional) {
        append(make_choice(std::move(name), std::move(description), target, std::move(choices)),
               need);
    }

    /// @param check returns a description of the accepted values where a list is invalid.
    void add_checked(std::string name, std::string description, std::vector<std::string>& target,
                     list_check check) {
        append(make_checked_list(std::move(name), std::move(description), target, std::move(check)),
               presence::optional);
    }

    /// Reads `--settings FILE`, then the flags, which override the file. Handles `--help`,
    /// `--check` and `--print-schema`. Prints the first error to standard error.
    outcome read(int argument_count, const char* const* arguments);

    /// Stores the values of a JSON object in their targets, up to the first that is unknown, of
    /// the wrong type or out of range. Doesn't check for missing fields.
    /// @return the first error, or nothing.
    std::optional<error> apply(const std::string& source, const boost::json::object& values);

    /// Reads a settings file again and checks it completely, required fields included.
    /// @return the first error, or nothing.
    std::optional<error> load(const std::string& file);

    /// @return the reference of this program's settings as a Markdown table.
    std::string reference() const;

    const std::vector<field>& fields() const { return fields_; }

  private:
    using given_fields = std::set<std::string>;

    /// Stores a file's values and adds the names of its fields to `given`.
    /// @return the first error, or nothing.
    std::optional<error> take_file(const std::string& file, given_fields& given);
    std::optional<error> first_missing(const std::string& source, const given_fields& given) const;
    void append(field added, presence need);
    const field* find(std::string_view name) const;

    std::string program_;
    std::string description_;
    std::vector<field> fields_;
};

}  // namespace ferryroad::settings
