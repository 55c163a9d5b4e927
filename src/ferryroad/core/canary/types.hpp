/// @file
/// What is counted of a pool's answers while a new software version of its engines is on trial.
#pragma once

#include "ferryroad/base/ids.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace ferryroad::core::canary {

/// Which engines an answer came from.
enum class engine_group : std::uint8_t {
    current,  ///< Of the version in force.
    canary    ///< Of the version on trial.
};

/// Answers by how long they took: class `i` holds those of 2^(i/2) up to 2^((i+1)/2)
/// milliseconds; the last one all that are longer.
inline constexpr std::size_t duration_classes = 32;

/// Of one route and one group of engines, since this process first knew the order. Only rises.
/// Durations are times for the same work: of a streamed answer without the reading of its prompt,
/// as an engine that is new has no prompts in its memory; without waiting for a place where that
/// differs between the groups. Only requests that began under the order are counted, of both
/// groups: the first answers to come are the short ones.
struct outcome_counts {
    std::uint32_t answered = 0;  ///< Whole answers, failures included.
    std::uint32_t failed = 0;    ///< Of these: the engine ran the request and failed.
    std::array<std::uint32_t, duration_classes> durations{};  ///< Of those that didn't fail.

    friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
};

/// Both groups on the same route over the same time.
struct compared_counts {
    outcome_counts current;
    outcome_counts canary;

    friend bool operator==(const compared_counts&, const compared_counts&) = default;
};

using counts_by_route = std::map<base::route_name, compared_counts>;

}  // namespace ferryroad::core::canary
