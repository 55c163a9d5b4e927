/// @file
/// Stored form of a lease: its row in the table.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::coordination::lease {

/// A process that acquires leases. A restarted process is a different holder.
struct lease_identity {
    std::string name;
    base::incarnation process;

    friend bool operator==(const lease_identity&, const lease_identity&) = default;
};

/// Content of the row. The row is never deleted, because it carries the fencing token from one
/// holder to the next.
struct lease_record {
    std::optional<lease_identity> holder;  ///< Empty after a release.
    base::fencing_token token;             ///< Increases with each acquisition.
    base::duration duration{};   ///< Lease duration that the holder uses; whole milliseconds.
    std::uint64_t write_id = 0;  ///< Random; lets a process recognize its own write.
    std::uint64_t note = 0;      ///< Note from the holder to the next one; 0 if none.

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// @return the text to store in the row.
std::string encode(const lease_record& record);
/// @return the record, or nothing if `text` is not a valid lease record.
std::optional<lease_record> decode(std::string_view text);

}  // namespace ferryroad::coordination::lease
