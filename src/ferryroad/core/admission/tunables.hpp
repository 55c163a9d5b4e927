/// @file
/// Constants of admission.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::core::admission {

struct admission_tunables {
    /// Bounds of what a tenant at its concurrency limit is told to wait.
    base::duration shortest_retry_after = std::chrono::milliseconds(100);
    base::duration longest_retry_after = std::chrono::seconds(10);
    /// Weight of the newest interval in the mean time between finished requests.
    double finish_interval_weight = 0.2;

    /// Requests that wait in one queue at most.
    std::size_t queue_length = 1024;
    /// A request that has waited this long is aged: it counts against the share below.
    base::duration aging_bound = std::chrono::seconds(2);
    /// While an aged request waits, one start in this many goes to the longest waiting one.
    std::size_t aged_start_every = 4;
    /// Weight of the newest interval in the measured rate of service.
    double service_rate_weight = 0.05;

    /// Retries allowed before any success has been seen, and the most that can be saved up.
    double retry_reserve = 10;
};

inline constexpr admission_tunables default_admission_tunables{};

}  // namespace ferryroad::core::admission
