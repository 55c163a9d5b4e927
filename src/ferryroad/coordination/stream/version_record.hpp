/// @file
/// Record of the software versions of a pool's engines. It is stored outside of the routers, as a
/// router that has just started can't know of engines that left before.
#pragma once

#include "ferryroad/coordination/rollout/naming_record.hpp"
#include "ferryroad/coordination/stream/stream_origin.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ferryroad::coordination::stream {

using rollout::store_clock_milliseconds;

/// The versions that the engines of a pool have, and whether there were others before.
struct version_record {
    std::set<software_version> current;
    /// When engines of several versions, or of a version that is gone, were last listed; nothing if
    /// never.
    std::optional<store_clock_milliseconds> others_until;

    friend bool operator==(const version_record&, const version_record&) = default;
};

/// All functions of this file are thread-safe.

/// @return the record after `current` was listed at `now`.
/// @param previous nothing if the pool has had no record. What a record that can't be decoded said
/// is unknown: pass one without versions for it.
version_record updated(const std::optional<version_record>& previous,
                       std::set<software_version> current, store_clock_milliseconds now);
/// @return the only version that the pool's engines have had within the time before `now`.
std::optional<software_version> sole_version(const version_record& record, base::duration within,
                                             store_clock_milliseconds now);

/// @return the record as JSON.
std::string encode(const version_record& record);
/// @return the record, or nothing if `text` is not a valid version record.
std::optional<version_record> decode_version_record(std::string_view text);

}  // namespace ferryroad::coordination::stream
