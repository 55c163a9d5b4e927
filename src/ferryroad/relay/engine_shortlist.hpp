/// @file
/// Preselects the engines of a large pool that are considered for one request. Computing the cost
/// of each of 10,000 engines takes 50 ms on a small machine. The placement depends on few engines:
/// the prompt's home (the engine that rendezvous hashing assigns its shared parts to), the engines
/// that hold its KV state, those with an open connection, and a random sample.
#pragma once

#include "ferryroad/relay/engine_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::relay {

struct shortlist_limits {
    /// Pools with at most this many engines are listed completely.
    std::size_t full_pool = 256;
    /// Highest-ranked engines for the home key. The home is the first of them that is not suspended
    /// and has the newest weights, so this exceeds the number likely to be unusable at once.
    std::size_t home_candidates = 32;
    /// Engines sampled by a hash of the request id; several times the number whose cost is computed
    /// for a request.
    std::size_t sampled = 64;
    /// Engines with the most of the prompt's KV state.
    std::size_t holders = 32;

    friend bool operator==(const shortlist_limits&, const shortlist_limits&) = default;
};

/// Hash keys that engines are ranked by.
struct shortlist_keys {
    std::optional<std::uint64_t> home;  ///< Hash of the shared prompt parts; nullopt if none.
    std::uint64_t request = 0;          ///< Hash of the request id.

    friend bool operator==(const shortlist_keys&, const shortlist_keys&) = default;
};

/// @return the home candidates and the sampled engines of a pool, or all engines of a small pool;
/// sorted by name, without duplicates. Every router gets the same home candidates for the same
/// pool. Thread-safe as long as the pool is not modified concurrently.
std::vector<const known_engine*> shortlist(const engine_pool& pool, const shortlist_keys& keys,
                                           const shortlist_limits& limits);

/// @return the rendezvous score of an engine for a key; the engine with the highest score is the
/// prompt's home.
std::uint64_t rank_of(std::uint64_t key, std::uint64_t name_hash);

/// Adds the engines that are not listed yet and keeps the list sorted by name. Thread-safe.
void add_to_shortlist(std::vector<const known_engine*>& listed,
                      const std::vector<const known_engine*>& added);

}  // namespace ferryroad::relay
