/// @file
/// The emulated engine's prefix cache: pieces in limited memory, least recently used first
/// out. Pure: no clock, no I/O.
#pragma once

#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// A piece that entered or left the cache, not yet numbered as an event.
struct cache_update {
    engine::cache_change change{};
    core::prefix::cache_namespace scope;
    base::piece_hash root;
    base::piece_hash piece;
    std::uint32_t depth = 0;
};

/// Chains of pieces by namespace. What it holds of a chain is always a run from the root:
/// a piece is stored only after the one before it and evicted only before it. Pieces in use
/// are pinned and stay.
class prefix_cache {
  public:
    /// @param capacity pieces held at most.
    explicit prefix_cache(std::uint32_t capacity);

    /// @return how many leading pieces of `chain` are held.
    std::uint32_t match(const core::prefix::cache_namespace& scope,
                        const core::prefix::piece_chain& chain) const;

    /// Pins the leading pieces held. @return how many.
    std::uint32_t pin(const core::prefix::cache_namespace& scope,
                      const core::prefix::piece_chain& chain);

    /// Stores and pins the piece at `depth`, whose predecessors the caller has pinned;
    /// evicts where full. @return false where every piece is pinned: nothing was stored.
    bool append(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& chain,
                std::uint32_t depth);

    /// Ends one use of the first `count` pieces, which become the most recently used.
    void unpin(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& chain,
               std::uint32_t count);

    /// Drops everything, pinned or not.
    void clear();

    std::uint32_t size() const { return static_cast<std::uint32_t>(entries_.size()); }
    std::uint32_t capacity() const { return capacity_; }

    /// @return the changes since the last call, in order.
    std::vector<cache_update> take_updates();

  private:
    /// Namespaces are numbered by exact comparison, so that keys compare cheaply and exactly.
    using scope_number = std::uint32_t;

    struct entry_key {
        scope_number scope = 0;
        base::piece_hash piece;
        friend bool operator==(const entry_key&, const entry_key&) = default;
    };
    struct entry_key_hash {
        std::size_t operator()(const entry_key& key) const noexcept;
    };
    struct entry {
        entry_key key;
        base::piece_hash root;
        std::uint32_t depth = 0;
        std::uint32_t pins = 0;
    };
    using entry_list = std::list<entry>;

    /// @return the number of a namespace met before, or none.
    const scope_number* find_scope(const core::prefix::cache_namespace& scope) const;
    scope_number scope_of(const core::prefix::cache_namespace& scope);
    void pin_entry(entry_list::iterator position);
    void evict_oldest();
    void record(engine::cache_change change, const entry& changed);

    std::uint32_t capacity_;
    std::unordered_map<core::prefix::cache_namespace, scope_number> scope_numbers_;
    std::vector<core::prefix::cache_namespace> scopes_;
    std::unordered_map<entry_key, entry_list::iterator, entry_key_hash> entries_;
    entry_list unpinned_;  ///< Most recently used first; a piece comes before its successors.
    entry_list pinned_;
    std::vector<cache_update> updates_;
};

}  // namespace ferryroad::emulator
