/// @file
/// Identity of a part of a prompt that requests share.
#pragma once

#include "ferryroad/base/hash.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace ferryroad::core::quarantine {

/// Digest of a prompt part and the model that reads it, whatever the scope of its state. All
/// functions of this file are thread-safe.
struct part_identity {
    base::hash128 digest;

    friend bool operator==(const part_identity&, const part_identity&) = default;
    friend bool operator<(const part_identity& first, const part_identity& second) {
        return first.digest < second.digest;
    }
};

/// Parts of one prompt that are considered, the ones nearest to the root.
inline constexpr std::size_t max_identified_parts = 4;

/// @return the shared parts of the prompt, without repetition, at most `max_identified_parts`.
std::vector<part_identity> parts_of(const prefix::declared_prompt& prompt);

/// @return the digests, 32 lower-case hex digits each, separated by spaces.
std::string to_string(const std::vector<part_identity>& parts);

}  // namespace ferryroad::core::quarantine

template <>
struct std::hash<ferryroad::core::quarantine::part_identity> {
    std::size_t operator()(const ferryroad::core::quarantine::part_identity& one) const {
        return one.digest.low;
    }
};
