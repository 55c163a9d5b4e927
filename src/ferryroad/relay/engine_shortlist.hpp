/// @file
/// Which engines of a large pool are looked at for one request. To weigh each of 10,000 takes a
/// small machine 50 ms; what decides about a request are its home, the holders of its prompt's
/// state, the engines that a connection is kept to, and some that are drawn.
#pragma once

#include "ferryroad/relay/engine_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::relay {

struct shortlist_limits {
    /// All engines of a pool that has no more are looked at.
    std::size_t whole = 256;
    /// Engines that may be the prompt's home, by rank: the first of them that is sound and has the
    /// newest weights is. More than are likely to be unsound at once.
    std::size_t homes = 32;
    /// Engines drawn by the request's id: some times as many as a request is weighed for.
    std::size_t drawn = 64;
    /// Holders of the prompt's state, those that hold the most.
    std::size_t holders = 32;

    friend bool operator==(const shortlist_limits&, const shortlist_limits&) = default;
};

/// Hashes of what engines are ranked by.
struct shortlist_keys {
    std::optional<std::uint64_t> home;  ///< Of the prompt's shared parts; nothing without these.
    std::uint64_t request = 0;

    friend bool operator==(const shortlist_keys&, const shortlist_keys&) = default;
};

/// @return the engines of a pool that may be the home, and those drawn; all of a small pool. In the
/// order of their names, none twice. Every router finds the same homes in the same pool.
/// Thread-safe while the pool doesn't change.
std::vector<const known_engine*> shortlist(const engine_pool& pool, const shortlist_keys& keys,
                                           const shortlist_limits& limits);

/// @return by what an engine ranks for a key: the highest is a prompt's home.
std::uint64_t rank_of(std::uint64_t key, std::uint64_t name_hash);

/// Adds engines that are not listed yet; keeps the order of names. Thread-safe.
void add_to_shortlist(std::vector<const known_engine*>& listed,
                      const std::vector<const known_engine*>& added);

}  // namespace ferryroad::relay
