/// @file
/// A lease's row in the table.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::coordination::lease {

/// A process that takes leases; a restarted one is another holder.
struct lease_identity {
    std::string name;
    base::incarnation process;

    friend bool operator==(const lease_identity&, const lease_identity&) = default;
};

/// The row is never deleted: it carries the token from one holder to the next.
struct lease_record {
    std::optional<lease_identity> holder;  ///< Nothing once released.
    base::fencing_token token;             ///< Rises with each acquisition.
    base::duration duration{};             ///< That the holder counts with; whole milliseconds.
    std::uint64_t write_id = 0;            ///< Tells the writer that this write is its own.
    std::uint64_t note = 0;                ///< The holder's word to the next one; 0: none.

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

std::string encode(const lease_record& record);
/// @return nothing where `text` is no lease's row.
std::optional<lease_record> decode(std::string_view text);

}  // namespace ferryroad::coordination::lease
