/// @file
/// One setting: its name, its documentation and how a value is read into its target.
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

enum class presence { optional, required };

/// Inclusive bounds of a number (of milliseconds, for durations).
struct range {
    double least;
    double most;
};

/// What a reader expected where it could not take a value; a LEAF error object.
struct expectation {
    std::string text;
};

/// Takes a JSON value into the bound target, or fails with an `expectation`.
using value_reader = std::function<boost::leaf::result<void>(const boost::json::value&)>;

struct field {
    std::string name;         ///< In the file: snake_case.
    std::string description;  ///< One sentence, with units.
    std::string type;         ///< For the reference: "IP:PORT", "milliseconds", ...
    std::string initial;      ///< Default as JSON text.
    presence need = presence::optional;
    value_reader read;

    /// @return the flag's name: `--event-lag-ms` for `event_lag_ms`.
    std::string flag() const;
};

/// Makes a field that reads into `target`, which must outlive it.
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
/// @return what was expected, where a list can't be used; else nothing.
using list_check = std::function<std::optional<std::string>(const std::vector<std::string>&)>;
/// A list of texts that must pass `check`.
field make_checked_list(std::string name, std::string description, std::vector<std::string>& target,
                        list_check check);
/// Text that must be one of `choices`.
field make_choice(std::string name, std::string description, std::string& target,
                  std::vector<std::string> choices);

}  // namespace ferryroad::settings
