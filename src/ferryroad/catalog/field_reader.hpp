/// @file
/// Reads the fields of one resource's JSON object and collects every fault.
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

/// What becomes of a field that no read asked for.
enum class unknown_fields { refuse, ignore };

/// Reads straight down: a fault gives the fallback and is kept in the list given. Borrows
/// the value and the list.
class field_reader {
  public:
    /// @param resource name of the resource in faults. @param value need not be an object:
    /// that is a fault and every read gives its fallback.
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

    /// Records a fault that the caller found itself, with the field's value as it stands.
    void fail(error_code code, std::string_view name, std::string expected);
    /// Call after the last read: every other field is a fault.
    void refuse_unknown_fields();
    const std::string& resource() const { return resource_; }
    /// Names the resource from here on, once its name is known.
    void rename(std::string resource) { resource_ = std::move(resource); }

  private:
    const boost::json::value* take(std::string_view name);

    std::string resource_;
    const boost::json::object* object_ = nullptr;
    std::vector<error>& faults_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace ferryroad::catalog
