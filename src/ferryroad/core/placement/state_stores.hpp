/// @file
/// Which store of prompt state a prompt belongs to, and whether its state is worth saving. Stores
/// are much slower than engines' links: each takes a few dozen prompts a second.
#pragma once

#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::core::placement {

/// @return the store where all routers look for the prompt's state, by its deepest shared part;
/// null without stores or shared parts. Thread-safe.
const traffic::state_store* store_of(const std::vector<traffic::state_store>& stores,
                                     const prefix::declared_prompt& prompt);

/// Tokens of a prompt that is about to be read.
struct prompt_reading {
    std::uint64_t shared = 0;  ///< Of its shared parts.
    std::uint64_t held = 0;    ///< Of these, those that someone holds.
    std::uint64_t own = 0;     ///< Of its last part, which is saved together with them.
};

/// What is read anew is worth saving, unless it comes along with more that nobody asks for again:
/// that takes the store's link and drives other state out. Thread-safe.
bool is_worth_saving(const prompt_reading& reading);

}  // namespace ferryroad::core::placement
