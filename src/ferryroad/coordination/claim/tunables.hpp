/// @file
/// Limits of claims, in one place.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::coordination::claim {

struct tunables {
    /// How long an ended claim is kept: within it a repeated key gets its outcome.
    base::duration retention = std::chrono::hours(24);
    /// A claim at work for longer belongs to a holder that will never end it. Must exceed the
    /// longest deadline of a request plus the difference between the processes' calendars.
    base::duration longest_work = std::chrono::minutes(15);
    std::uint32_t writes = 6;  ///< Conditional writes tried for one claim or its end.
    std::uint32_t reads = 6;   ///< Reads tried likewise.
    /// Looks at another's claim at work before it is reported as such.
    std::uint32_t polls = 5;
    base::duration first_delay = std::chrono::milliseconds(50);  ///< Doubles with each retry.
    base::duration longest_delay = std::chrono::seconds(2);
};

}  // namespace ferryroad::coordination::claim
