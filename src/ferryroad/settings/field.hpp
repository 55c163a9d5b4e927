/// @file
/// One setting: its name, its documentation, and the function that stores a value in its target.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/strong_id.hpp"
#include "ferryroad/base/time.hpp"

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::settings {

/// Whether a setting may be omitted.
enum class presence { optional, required };

/// Inclusive bounds of a number (of milliseconds, for durations).
struct range {
    double least;
    double most;
};

/// LEAF error object of a `value_reader`: a description of the values that it accepts.
struct expectation {
    std::string text;
};

/// Stores a JSON value in the bound target, or fails with an `expectation`.
using value_reader = std::function<boost::leaf::result<void>(const boost::json::value&)>;

/// Declaration of one setting.
struct field {
    std::string name;         ///< Name in the settings file, in snake_case.
    std::string description;  ///< One sentence, with units.
    std::string type;     ///< As the settings reference shows it: "IP:PORT", "milliseconds", ...
    std::string initial;  ///< Default as JSON text.
    presence need = presence::optional;
    value_reader read;

    /// @return the flag's name: `--event-lag-ms` for `event_lag_ms`.
    std::string flag() const;
};

/// Creates a field whose values are stored in `target`, which must outlive it. The value that
/// `target` has at the call is documented as the default.
field make_field(std::string name, std::string description, std::string& target);
field make_field(std::string name, std::string description, bool& target);
field make_field(std::string name, std::string description, double& target, range bounds);
field make_field(std::string name, std::string description, std::uint16_t& target, range bounds);
field make_field(std::string name, std::string description, std::uint32_t& target, range bounds);
field make_field(std::string name, std::string description, std::uint64_t& target, range bounds);
field make_field(std::string name, std::string description, base::duration& target, range bounds);
field make_field(std::string name, std::string description, base::endpoint& target);
field make_field(std::string name, std::string description, std::vector<base::endpoint>& target);
field make_field(std::string name, std::string description, std::vector<std::string>& target);
/// Checks a list. @return a description of the accepted values where the list is invalid, else
/// nothing.
using list_check = std::function<std::optional<std::string>(const std::vector<std::string>&)>;
/// Creates a field for a list of strings that `check` must accept.
field make_checked_list(std::string name, std::string description, std::vector<std::string>& target,
                        list_check check);
/// Creates a field for a string that must be one of `choices`.
field make_choice(std::string name, std::string description, std::string& target,
                  std::vector<std::string> choices);

}  // namespace ferryroad::settings
