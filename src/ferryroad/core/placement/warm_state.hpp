/// @file
/// What this router believes of prompt state in engines and state stores: told by their event
/// streams, and expected from its own dispatches until the events catch up. Bounded.
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
    /// Parts remembered; the one used longest ago is forgotten first.
    std::size_t parts = 6144;
    /// Holders remembered for each part: more than engines of a pool at the largest deployment
    /// that was measured (240), as the first parts of prompts are held by nearly all of them.
    std::size_t holders = 512;
    /// A part that a followed holder was asked to read, and hasn't told of since, isn't there.
    base::duration expectation = std::chrono::milliseconds(1500);
    /// And this for each token of the part, which must be read first.
    base::duration expectation_token = std::chrono::microseconds(30);
    /// The same where the holder's events aren't followed: it is taken to have dropped it.
    base::duration unfollowed_lifetime = std::chrono::seconds(20);
};

/// Tokens at the start of a prompt that one holder is believed to hold.
struct holding {
    base::engine_name holder;  ///< An engine or a store.
    std::uint64_t tokens = 0;
    bool confirmed = false;  ///< All of them by the holder's own events.

    friend bool operator==(const holding&, const holding&) = default;
};

/// Not thread-safe.
class warm_state {
  public:
    /// Whoever holds state: an engine or a store, by its name.
    using holder_name = base::engine_name;

    explicit warm_state(warm_state_tunables tunables = {}) : m_tunables(tunables) {}

    /// The holder will hold the parts, for it was asked to read them.
    void expect(const std::vector<prefix::scoped_part>& parts, const holder_name& holder,
                base::monotonic_time now);
    /// The holder told that it holds `tokens` of a part now; 0: none.
    void told(prefix::part_key part, const holder_name& holder, std::uint64_t tokens,
              base::monotonic_time now);
    /// The holder's events are followed without a gap from now on, or no longer.
    void follow(const holder_name& holder, bool followed);
    /// The holder ended, or lost what it held.
    void forget(const holder_name& holder);

    /// @return all that are believed to hold a beginning of the prompt, in the order of their
    /// names; bounded by the number of holders remembered for a part.
    std::vector<holding> holdings(const std::vector<prefix::scoped_part>& parts,
                                  base::monotonic_time now) const;
    /// @return the tokens of one holder.
    std::uint64_t tokens_held(const std::vector<prefix::scoped_part>& parts,
                              const holder_name& holder, base::monotonic_time now) const;
    std::size_t size() const { return m_parts.size(); }

  private:
    struct belief {
        holder_name holder;
        std::uint64_t tokens = 0;
        bool confirmed = false;  ///< By the holder's own events.
        base::monotonic_time since{};
    };
    struct entry {
        std::vector<belief> beliefs;
        std::list<std::uint64_t>::iterator place;  ///< In `m_by_use`.
    };

    entry& touch(prefix::part_key part);
    belief& belief_of(entry& part, const holder_name& holder);
    /// @return the entries of the leading parts that anyone is believed to hold.
    std::vector<const entry*> known_entries(const std::vector<prefix::scoped_part>& parts) const;
    holding held_by(const holder_name& holder, const std::vector<prefix::scoped_part>& parts,
                    const std::vector<const entry*>& entries, base::monotonic_time now) const;
    bool holds(const belief& one, base::monotonic_time now) const;

    warm_state_tunables m_tunables;
    std::unordered_map<std::uint64_t, entry> m_parts;
    std::list<std::uint64_t> m_by_use;  ///< Used last first.
    std::set<holder_name> m_followed;
};

}  // namespace ferryroad::core::placement
