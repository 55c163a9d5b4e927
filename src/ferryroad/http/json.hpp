/// @file
/// Reading JSON bodies field by field with an error that names the field. Boost.JSON inside.
#pragma once

#include "ferryroad/http/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// @return the value, or `malformed` with the place of the fault. Depth is limited.
runtime::result<boost::json::value, error> parse_json(std::string_view text);

std::string to_text(const boost::json::value& value);

/// Reads typed fields of an object. The first fault sticks in `fault()`; later reads give
/// defaults, so that a decoder reads straight down and checks once.
class object_reader {
  public:
    /// @param value need not be an object: then every read is a fault.
    explicit object_reader(const boost::json::value& value, std::string path = {});

    std::string text(std::string_view name);
    std::string text_or(std::string_view name, std::string fallback);
    std::optional<std::string> optional_text(std::string_view name);
    std::uint64_t unsigned_number(std::string_view name);
    std::uint64_t unsigned_or(std::string_view name, std::uint64_t fallback);
    double number(std::string_view name);
    double number_or(std::string_view name, double fallback);
    bool boolean_or(std::string_view name, bool fallback);
    /// @return the member, or null where it is missing (no fault).
    const boost::json::value* find(std::string_view name) const;
    /// @return the array's values; missing is empty, another type is a fault.
    const boost::json::array& list(std::string_view name);

    /// Records a fault that the caller found itself.
    void fail(std::string_view name, std::string_view expected);
    const std::optional<error>& fault() const { return fault_; }

  private:
    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::optional<error> fault_;
};

}  // namespace ferryroad::http
