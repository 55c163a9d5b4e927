/// @file
/// The emulated engine's prefix cache: a bounded number of pieces, evicted least recently used
/// first. Performs no I/O and reads no clock.
#pragma once

#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/engine/types.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ferryroad::emulator {

/// A piece that was stored or evicted; not yet numbered as an event.
struct cache_update {
    engine::cache_change change{};
    core::prefix::cache_namespace scope;
    base::piece_hash root;
    base::piece_hash piece;
    std::uint32_t depth = 0;
};

/// Chains of pieces by namespace. The cached pieces of a chain always form a prefix of it: a piece
/// is stored after its predecessor and evicted before it. Pieces in use are pinned and are not
/// evicted. Not thread-safe.
class prefix_cache {
  public:
    /// @param capacity largest number of pieces.
    explicit prefix_cache(std::uint32_t capacity);

    /// @return the number of leading pieces of `chain` that are cached.
    std::uint32_t match(const core::prefix::cache_namespace& scope,
                        const core::prefix::piece_chain& chain) const;

    /// Pins the leading pieces that are cached. @return their number.
    std::uint32_t pin(const core::prefix::cache_namespace& scope,
                      const core::prefix::piece_chain& chain);

    /// Stores and pins the piece at `depth`; the caller must have pinned its predecessors. Evicts
    /// a piece if the cache is full.
    /// @return false if nothing was stored because every piece is pinned.
    bool append(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& chain,
                std::uint32_t depth);

    /// Releases one pin of each of the first `count` pieces and makes them the most recently used.
    void unpin(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& chain,
               std::uint32_t count);

    /// Drops all pieces, pinned ones too.
    void clear();

    std::uint32_t size() const { return static_cast<std::uint32_t>(entries_.size()); }
    std::uint32_t capacity() const { return capacity_; }

    /// @return the changes since the last call, in order.
    std::vector<cache_update> take_updates();

  private:
    /// Each distinct namespace gets a number, so that keys compare fast without hash collisions.
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

    /// @return the namespace's number, or null if it has none.
    const scope_number* find_scope(const core::prefix::cache_namespace& scope) const;
    /// @return the namespace's number, assigned if it has none.
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
