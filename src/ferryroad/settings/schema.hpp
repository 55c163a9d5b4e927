/// @file
/// A program's settings: declared once, read from a JSON file and from flags, checked whole
/// before anything starts, printed as the settings reference.
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

/// Exit code of a program whose settings were refused.
inline constexpr int exit_bad_settings = 2;

/// What the program does next: go on, or end with `exit_code` (help, check, refusal).
struct outcome {
    std::optional<int> exit_code;
    std::string file;  ///< That settings came from; empty where they came from flags alone.
};

/// Declares a program's settings. Targets outlive the schema. Not thread-safe.
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

    /// @param check returns what was expected where a list can't be used.
    void add_checked(std::string name, std::string description, std::vector<std::string>& target,
                     list_check check) {
        append(make_checked_list(std::move(name), std::move(description), target, std::move(check)),
               presence::optional);
    }

    /// Reads `--settings FILE`, then the flags over it; handles `--help`, `--check` and
    /// `--print-schema`; prints the first refusal on standard error.
    outcome read(int argument_count, const char* const* arguments);

    /// Takes one file's object: every field known, of its type and in its range, none missing.
    /// @return the first refusal, or nothing.
    std::optional<error> apply(const std::string& source, const boost::json::object& values);

    /// Reads a file again, as a whole: every field known and sound, none required missing.
    /// @return the first refusal, or nothing.
    std::optional<error> load(const std::string& file);

    /// @return the reference of this program's settings as a Markdown table.
    std::string reference() const;

    const std::vector<field>& fields() const { return fields_; }

  private:
    using given_fields = std::set<std::string>;

    /// Takes a file's fields and notes which it gave. @return the first refusal, or nothing.
    std::optional<error> take_file(const std::string& file, given_fields& given);
    std::optional<error> first_missing(const std::string& source, const given_fields& given) const;
    void append(field added, presence need);
    const field* find(std::string_view name) const;

    std::string program_;
    std::string description_;
    std::vector<field> fields_;
};

}  // namespace ferryroad::settings
