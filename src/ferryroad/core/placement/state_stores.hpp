/// @file
/// Selection of the state store for a prompt, and whether to save its state there. Stores are much
/// slower than the links of engines: each takes a few dozen prompts per second.
#pragma once

#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"

#include <cstdint>
#include <vector>

namespace ferryroad::core::placement {

/// @return the store for the prompt's state, selected by its deepest shared part and the same at
/// all routers; null without stores or shared parts. Thread-safe.
const traffic::state_store* select_store(const std::vector<traffic::state_store>& stores,
                                         const prefix::declared_prompt& prompt);

/// Numbers of tokens of a prompt before its prefill.
struct prompt_prefill {
    std::uint64_t shared = 0;  ///< Tokens of the shared parts.
    std::uint64_t held = 0;    ///< Shared tokens that are cached somewhere.
    std::uint64_t own = 0;     ///< Tokens of the last part, which is saved with the shared parts.
    /// The request can't be sent to another engine. While it runs, newer weights are not loaded at
    /// its engine if it saves state.
    bool pinned = false;
};

/// A request that can't be sent to another engine saves at least this many newly computed shared
/// tokens, or nothing, and fetches as many from another engine, or nothing: holding up newer
/// weights costs more than computing fewer tokens again.
inline constexpr std::uint64_t least_pinned_tokens = 1000;

/// @return whether to save the state: if shared tokens are newly computed and the last part, which
/// no other request uses, is not longer than these. Saving a longer one would take up the store's
/// bandwidth and evict other state. Pinned requests: see `least_pinned_tokens`. Thread-safe.
bool is_worth_saving(const prompt_prefill& reading);

}  // namespace ferryroad::core::placement
