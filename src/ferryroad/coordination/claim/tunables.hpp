/// @file
/// Time and retry limits of claims.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::coordination::claim {

/// Limits of one claim.
struct tunables {
    /// How long a closed claim is stored. During this time a repeated key gets the stored outcome.
    base::duration retention = std::chrono::hours(24);
    /// A claim in progress for longer than this is abandoned: its holder will never close it. Must
    /// exceed the longest request deadline plus the largest difference between the wall clocks of
    /// the processes.
    base::duration abandoned_after = std::chrono::minutes(15);
    /// Maximum number of conditional writes to make or to close one claim.
    std::uint32_t writes = 6;
    std::uint32_t reads = 6;  ///< Maximum number of reads to make or to close one claim.
    /// Number of times the row is polled for the outcome of another attempt in progress before
    /// `in_progress` is reported.
    std::uint32_t polls = 5;
    /// Delay before the first retry; doubles with each retry.
    base::duration first_delay = std::chrono::milliseconds(50);
    base::duration longest_delay = std::chrono::seconds(2);  ///< Upper limit of that delay.
};

}  // namespace ferryroad::coordination::claim
