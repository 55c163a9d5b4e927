/// @file
/// Reads the fields of a resource's JSON object and collects all faults.
#pragma once

#include "ferryroad/catalog/errors.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::catalog {

/// Inclusive bounds of a number.
struct number_range {
    double least = 0;
    double greatest = 0;
};

/// Treatment of fields that have not been read.
enum class unknown_fields { refuse, ignore };

/// Reads fields without stopping at errors: a missing or invalid field yields the fallback, and the
/// fault is appended to the list. The JSON value and the list must outlive the reader.
class field_reader {
  public:
    /// @param resource the name by which faults refer to the resource.
    /// @param value the resource. If it isn't an object, that is a fault, and every read returns
    /// its fallback.
    field_reader(std::string resource, const boost::json::value& value, std::vector<error>& faults);

    std::string required_text(std::string_view name);
    std::string text(std::string_view name, std::string fallback);
    double number(std::string_view name, double fallback, number_range range);
    std::uint32_t count(std::string_view name, std::uint32_t fallback, number_range range);
    bool boolean(std::string_view name, bool fallback);
    std::vector<std::string> text_list(std::string_view name);
    /// @return the array, or null where it is missing.
    const boost::json::array* list(std::string_view name);
    bool has(std::string_view name) const;
    bool holds_text(std::string_view name) const;

    /// Adds a fault that the caller found. The field's value is filled in.
    void fail(error_code code, std::string_view name, std::string expected);
    /// Adds a fault for each field that has not been read. Call it after the last read.
    void refuse_unknown_fields();
    const std::string& resource() const { return resource_; }
    /// Changes the name by which later faults refer to the resource.
    void rename(std::string resource) { resource_ = std::move(resource); }

  private:
    const boost::json::value* take(std::string_view name);

    std::string resource_;
    const boost::json::object* object_ = nullptr;
    std::vector<error>& faults_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace ferryroad::catalog
