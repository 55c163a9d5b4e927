/// @file
/// Constants of admission control.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstddef>

namespace ferryroad::core::admission {

struct admission_tunables {
    /// Bounds of the suggested retry delay.
    base::duration shortest_retry_after = std::chrono::milliseconds(100);
    base::duration longest_retry_after = std::chrono::seconds(10);
    /// Weight of the newest interval in the moving average of the time between finished requests.
    double finish_interval_weight = 0.2;

    /// Maximum number of requests waiting in one queue.
    std::size_t queue_length = 1024;
    /// Waiting time after which a request counts as aged and may overtake higher priorities.
    base::duration aging_bound = std::chrono::seconds(2);
    /// While aged requests wait, one start in this many goes to the oldest of them.
    std::size_t aged_start_every = 4;
    /// Weight of the newest interval in the measured service rate.
    double service_rate_weight = 0.05;

    /// Initial and highest balance of a retry budget, in retries.
    double retry_reserve = 10;
};

inline constexpr admission_tunables default_admission_tunables{};

}  // namespace ferryroad::core::admission
