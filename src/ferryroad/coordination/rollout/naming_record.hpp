/// @file
/// Record of when weights were named, that is, declared as the version to serve. It is stored
/// outside of the routers, because a router that starts in the middle of a rollout must know how
/// long the engines' weights have been outdated.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::coordination::rollout {

/// Milliseconds of the steady clock of the store that keeps the record.
using store_clock_milliseconds = std::int64_t;

/// A named version of a model's weights.
struct named_weights {
    std::uint64_t version = 0;
    store_clock_milliseconds accepted_after =
        0;  ///< Earliest time at which it may have been named.

    friend bool operator==(const named_weights&, const named_weights&) = default;
};

/// All weights named up to `confirmed_at`; newer weights were named later.
struct naming_record {
    store_clock_milliseconds confirmed_at = 0;
    std::map<std::string, std::vector<named_weights>> models;  ///< Versions in ascending order.

    friend bool operator==(const naming_record&, const naming_record&) = default;
};

/// @return the record as JSON.
std::string encode(const naming_record& record);
/// @return the record, or nothing if `text` is not a valid naming record.
std::optional<naming_record> decode_naming_record(std::string_view text);

}  // namespace ferryroad::coordination::rollout
