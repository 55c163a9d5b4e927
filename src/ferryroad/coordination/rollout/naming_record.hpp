/// @file
/// When weights were named, kept where it outlasts every router: a router that starts in the
/// middle of a rollout must know how long the weights in the engines have been outdated.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryroad::coordination::rollout {

/// Milliseconds of the steady clock of whoever keeps the record.
using keeper_milliseconds = std::int64_t;

struct named_weights {
    std::uint64_t version = 0;
    keeper_milliseconds accepted_after = 0;  ///< It may have been named as early as this.

    friend bool operator==(const named_weights&, const named_weights&) = default;
};

/// All weights named by `confirmed_at`: what is newer was named after it.
struct naming_record {
    keeper_milliseconds confirmed_at = 0;
    std::map<std::string, std::vector<named_weights>> models;  ///< Versions rising.

    friend bool operator==(const naming_record&, const naming_record&) = default;
};

std::string encode(const naming_record& record);
/// @return nothing where `text` is no such record.
std::optional<naming_record> decode_naming_record(std::string_view text);

}  // namespace ferryroad::coordination::rollout
