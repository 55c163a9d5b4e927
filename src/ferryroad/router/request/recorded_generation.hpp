/// @file
/// Encoding of a generated answer as the recorded outcome for callers that repeat its key.
#pragma once

#include "ferryroad/router/claim_registry.hpp"
#include "ferryroad/router/request_types.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ferryroad::router {

/// A generated answer read from a recorded outcome.
struct recorded_generation {
    generation_summary summary;
    std::vector<std::string> tokens;
};

/// Encodes an answer as a recorded outcome.
/// @param body_limit maximum size in bytes; a longer answer is recorded as complete without its
/// tokens.
recorded_outcome record_generation(const generation_summary& summary,
                                   const std::vector<std::string>& tokens, std::size_t body_limit);

/// Decodes a recorded outcome.
/// @return the answer; nothing if the outcome has no valid answer.
std::optional<recorded_generation> read_recorded_generation(const recorded_outcome& outcome);

}  // namespace ferryroad::router
