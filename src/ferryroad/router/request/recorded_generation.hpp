/// @file
/// A generated answer as it is recorded for callers that repeat its key.
#pragma once

#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/request_types.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

struct recorded_generation {
    generation_summary summary;
    std::vector<std::string> tokens;
};

/// @param body_limit in bytes; a longer answer is recorded as complete without its tokens.
recorded_outcome record_generation(const generation_summary& summary,
                                   const std::vector<std::string>& tokens, std::size_t body_limit);

/// @return nothing where the record holds no readable answer.
std::optional<recorded_generation> read_recorded_generation(const recorded_outcome& outcome);

}  // namespace ferryroad::router
