/// @file
/// What this router believes of prompt state in engines: learned from its own dispatches and
/// from engines' events, forgotten by age, bounded in number.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::placement {

struct warm_state_tunables {
    /// Prefixes remembered; the one used longest ago is forgotten first.
    std::size_t prefixes = 4096;
    /// Engines remembered for each prefix.
    std::size_t holders = 8;
    /// An engine that nobody asked for a prefix this long is taken to have dropped it.
    base::duration lifetime = std::chrono::seconds(20);
};

/// Not thread-safe.
class warm_state {
  public:
    explicit warm_state(warm_state_tunables tunables = {}) : m_tunables(tunables) {}

    /// The engine now holds every prefix of the chain.
    void record(const std::vector<prefix::prefix_link>& chain, const base::engine_name& engine,
                base::monotonic_time now);
    /// @return tokens of the longest prefix of the chain that the engine is believed to hold.
    std::uint64_t tokens_held(const std::vector<prefix::prefix_link>& chain,
                              const base::engine_name& engine, base::monotonic_time now) const;
    /// The engine ended, or lost what it held.
    void forget(const base::engine_name& engine);
    std::size_t size() const { return m_prefixes.size(); }

  private:
    struct holder {
        base::engine_name engine;
        base::monotonic_time used;
    };
    struct entry {
        std::vector<holder> holders;
        std::list<std::uint64_t>::iterator place;  ///< In `m_by_use`.
    };

    entry& touch(std::uint64_t hash);

    warm_state_tunables m_tunables;
    std::unordered_map<std::uint64_t, entry> m_prefixes;
    std::list<std::uint64_t> m_by_use;  ///< Used last first.
};

}  // namespace ferryroad::core::placement
