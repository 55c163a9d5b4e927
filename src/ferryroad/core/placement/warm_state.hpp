/// @file
/// Index of the prompt state that engines and state stores are assumed to cache. It is updated by
/// their event streams and, until the events arrive, by the router's own dispatches. Its size is
/// bounded.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::placement {

struct warm_state_tunables {
    /// Maximum number of parts; the least recently used one is evicted.
    std::size_t parts = 6144;
    /// Maximum number of holders per part. The first parts of prompts are cached by nearly all
    /// engines of a pool, and the largest known deployment has 240 of them.
    std::size_t holders = 512;
    /// Time after a dispatch for which a part is assumed to be cached by a holder whose events are
    /// followed, if no event confirms it.
    base::duration confirmation_timeout = std::chrono::milliseconds(1500);
    /// Additional time per token of the part, for its prefill.
    base::duration confirmation_timeout_per_token = std::chrono::microseconds(30);
    /// Time for which a part is assumed to be cached by a holder whose events are not followed.
    base::duration unfollowed_lifetime = std::chrono::seconds(20);
};

/// Prefix of a prompt that one holder is assumed to cache.
struct holding {
    base::engine_name holder;  ///< An engine or a state store.
    std::uint64_t tokens = 0;  ///< Length of the prefix.
    bool confirmed = false;    ///< Whether events of the holder confirm all of it.

    friend bool operator==(const holding&, const holding&) = default;
};

/// Not thread-safe.
class warm_state {
  public:
    /// Name of an engine or a state store.
    using holder_name = base::engine_name;

    explicit warm_state(warm_state_tunables tunables = {}) : m_tunables(tunables) {}

    /// Records that the holder was sent a prompt and is expected to cache its parts.
    void expect(const std::vector<prefix::scoped_part>& parts, const holder_name& holder,
                base::monotonic_time now);
    /// Records an event of the holder.
    /// @param tokens number of tokens of the part that it caches now; 0 if none.
    void told(prefix::part_key part, const holder_name& holder, std::uint64_t tokens,
              base::monotonic_time now);
    /// Sets whether the holder's events are followed without gaps from now on.
    void follow(const holder_name& holder, bool followed);
    /// Drops everything known of a holder that has ended or lost its cache.
    void forget(const holder_name& holder);

    /// @return all holders assumed to cache a prefix of the prompt, ordered by name; at most
    /// `warm_state_tunables::holders`.
    std::vector<holding> holdings(const std::vector<prefix::scoped_part>& parts,
                                  base::monotonic_time now) const;
    /// @return the length in tokens of the prefix that one holder is assumed to cache.
    std::uint64_t tokens_held(const std::vector<prefix::scoped_part>& parts,
                              const holder_name& holder, base::monotonic_time now) const;
    /// @return the number of parts in the index.
    std::size_t size() const { return m_parts.size(); }

  private:
    struct assumption {
        holder_name holder;
        std::uint64_t tokens = 0;
        bool confirmed = false;  ///< Whether an event of the holder confirms it.
        base::monotonic_time since{};
    };
    struct entry {
        std::vector<assumption> assumptions;
        std::list<std::uint64_t>::iterator lru_position;  ///< Position in `m_lru`.
    };

    entry& touch(prefix::part_key part);
    assumption& assumption_of(entry& part, const holder_name& holder);
    /// @return the entries of the leading parts that are in the index.
    std::vector<const entry*> known_entries(const std::vector<prefix::scoped_part>& parts) const;
    holding held_by(const holder_name& holder, const std::vector<prefix::scoped_part>& parts,
                    const std::vector<const entry*>& entries, base::monotonic_time now) const;
    bool holds(const assumption& one, base::monotonic_time now) const;

    warm_state_tunables m_tunables;
    std::unordered_map<std::uint64_t, entry> m_parts;
    std::list<std::uint64_t> m_lru;  ///< Most recently used first.
    std::set<holder_name> m_followed;
};

}  // namespace ferryroad::core::placement
