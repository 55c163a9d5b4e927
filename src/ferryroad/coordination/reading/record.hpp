/// @file
/// Rows of an external table in the form in which routers pass them on to each other.
#pragma once

#include "ferryroad/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ferryroad::coordination::reading {

/// One row of a replicated table.
struct record {
    std::string key;
    std::string value;
    std::uint64_t version = 0;  ///< Value of a table-wide counter that increases with every change.
    bool deleted = false;

    friend bool operator==(const record&, const record&) = default;
};

/// Rows and the table version up to which they are complete.
struct record_batch {
    std::vector<record> records;
    std::uint64_t version = 0;
    std::chrono::milliseconds owner_time{};  ///< Steady clock of the owner when it answered.
    /// Time from the start of the reader's call until the owner was asked. Zero if the call went to
    /// the owner itself, negative if another router had asked the owner before.
    base::duration owner_asked_after{};

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

/// States up to which moment a copy of a table is complete.
struct confirmation {
    std::uint64_t version = 0;
    /// The copy contains everything that the owner accepted before this moment.
    base::monotonic_time as_of{};
    /// Steady clock of the owner at some moment after `as_of`.
    std::chrono::milliseconds owner_time{};

    friend bool operator==(const confirmation&, const confirmation&) = default;
};

}  // namespace ferryroad::coordination::reading
