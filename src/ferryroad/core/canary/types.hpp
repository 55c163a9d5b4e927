/// @file
/// Counts of a pool's answers during the canary trial of a new engine software version.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace ferryroad::core::canary {

/// Group of engines that an answer came from.
enum class engine_group : std::uint8_t {
    current,  ///< Engines of the current version.
    canary    ///< Engines of the canary version.
};

/// Number of classes in the histogram of durations. Class `i` holds durations from 2^(i/2) up to
/// 2^((i+1)/2) milliseconds; the last class has no upper limit.
inline constexpr std::size_t duration_classes = 32;

/// Answers of one group of engines on one route since this process learned of the release order.
/// Counts never decrease. Durations must be comparable between the groups: those of streamed
/// answers exclude prefill, since a new engine has an empty prompt cache, and queueing is excluded
/// where it differs between the groups. In both groups only requests that started under the order
/// are counted, because the answers that arrive first are the short ones.
struct outcome_counts {
    std::uint32_t answered = 0;  ///< Complete answers, failures included.
    std::uint32_t failed = 0;    ///< Answers of requests that an engine ran and failed.
    std::array<std::uint32_t, duration_classes> durations{};  ///< Successful answers by class.

    friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

/// Counts of both groups on one route over the same period.
struct compared_counts {
    outcome_counts current;
    outcome_counts canary;

    friend bool operator==(const compared_counts&, const compared_counts&) = default;
};

using counts_by_route = std::map<base::route_name, compared_counts>;

}  // namespace ferryroad::core::canary
