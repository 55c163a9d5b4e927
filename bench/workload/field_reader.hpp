/// @file
/// Reads one JSON object of a workload file: each field known, of its type and in its range.
#pragma once

#include "bench/workload/errors.hpp"
#include "ferryroad/base/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ferryroad::bench::workload {

struct number_range {
    double least = 0;
    double most = std::numeric_limits<double>::max();
};

inline constexpr number_range any_share{0, 1};
inline constexpr number_range at_least_one{1, 1e9};

/// The first fault of the whole file, shared by the readers of its objects.
struct fault_record {
    std::optional<error> first;
};

/// Reads straight down; after a fault reads give defaults.
class field_reader {
  public:
    /// @param value need not be an object: that is a fault.
    /// @param path of the object within the file, for messages.
    field_reader(const boost::json::value& value, std::string path, fault_record& faults);

    std::string text(std::string_view name);
    std::optional<std::string> optional_text(std::string_view name);
    double number(std::string_view name, number_range range);
    double number_or(std::string_view name, double fallback, number_range range);
    std::uint64_t whole(std::string_view name, number_range range);
    std::uint64_t whole_or(std::string_view name, std::uint64_t fallback, number_range range);
    bool flag_or(std::string_view name, bool fallback);
    /// Milliseconds; 0 where missing.
    base::duration milliseconds(std::string_view name);
    /// @return the member's array; a fault where it is missing or empty.
    const boost::json::array& list(std::string_view name);
    /// @return the member's array; empty where it is missing.
    const boost::json::array& list_or_empty(std::string_view name);
    /// @return the member's object as a reader; a fault where it is missing.
    field_reader object(std::string_view name);

    /// Call once after the last read: a member that no read asked for is a fault.
    void refuse_unknown();

    void fail(std::string_view name, std::string_view expected);
    std::string path_of(std::string_view name) const;
    fault_record& faults() { return faults_; }

  private:
    const boost::json::value* take(std::string_view name, bool required);

    const boost::json::object* object_;
    std::string path_;
    fault_record& faults_;
    std::set<std::string, std::less<>> asked_;
};

}  // namespace ferryroad::bench::workload
