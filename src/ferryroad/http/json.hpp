/// @file
/// Reads JSON bodies field by field; errors name the field. Based on Boost.JSON.
#pragma once

#include "ferryroad/http/errors.hpp"
#include "ferryroad/runtime/task.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::http {

/// @return the value, or `malformed` with the byte offset of the syntax error. The nesting depth is
/// limited.
runtime::result<boost::json::value, error> parse_json(std::string_view text);

/// @return the number if it is a whole one of at least 0 that fits, whether it is stored signed or
/// unsigned. Thread-safe.
std::optional<std::uint64_t> to_unsigned(const boost::json::value& value);

/// @return `value` as compact JSON text.
std::string to_text(const boost::json::value& value);

/// Reads typed fields of an object. `fault` keeps the first error, and reads of missing or mistyped
/// fields return a default, so that a decoder can read all fields and check for an error once.
class object_reader {
  public:
    /// @param value an object; anything else is recorded as an error.
    /// @param path of `value` in the body, used as a prefix of field names in errors.
    explicit object_reader(const boost::json::value& value, std::string path = {});

    std::string text(std::string_view name);
    std::string text_or(std::string_view name, std::string fallback);
    std::optional<std::string> optional_text(std::string_view name);
    std::uint64_t unsigned_number(std::string_view name);
    std::uint64_t unsigned_or(std::string_view name, std::uint64_t fallback);
    double number(std::string_view name);
    double number_or(std::string_view name, double fallback);
    bool boolean_or(std::string_view name, bool fallback);
    /// @return the member, or null if it is missing (which is no error).
    const boost::json::value* find(std::string_view name) const;
    /// @return the array; an empty one if it is missing. Another type is an error.
    const boost::json::array& list(std::string_view name);

    /// Records an error that the caller has found.
    void fail(std::string_view name, std::string_view expected);
    /// @return the first error, if any.
    const std::optional<error>& fault() const { return fault_; }

  private:
    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::optional<error> fault_;
};

}  // namespace ferryroad::http
