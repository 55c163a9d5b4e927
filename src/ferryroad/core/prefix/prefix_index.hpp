/// @file
/// Index of the pieces that engines are assumed to cache. It is learned from dispatches, answers
/// and cache events, which arrive late and may be lost.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ferryroad::core::prefix {

/// Limits of a prefix index.
struct prefix_index_settings {
    /// Maximum number of entries (one piece on one engine); the least recently seen is evicted.
    std::size_t entries = 65536;
    /// Time after which an entry that is not seen again expires.
    base::duration lifetime = std::chrono::seconds(20);
    /// Maximum number of engines per piece; the least recently seen is evicted.
    std::size_t holders_per_piece = 64;
};

/// One process of an engine.
struct engine_process {
    base::engine_name engine;
    base::incarnation incarnation;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
    friend auto operator<=>(const engine_process&, const engine_process&) = default;
    friend bool operator==(const engine_process&, const engine_process&) = default;
};

/// Why pieces are assumed to be cached.
enum class evidence {
    dispatch,  ///< A request with these pieces was sent to the engine, which will cache them soon.
    event,     ///< An event of the engine reported them.
    answer     ///< An answer of the engine reported them; it stays valid after lost events.
};

/// An engine that caches leading pieces of a prompt.
struct holder {
    engine_process process;
    std::uint32_t pieces = 0;  ///< Number of leading pieces cached, at least 1.
    base::duration age{};      ///< Time since the least recently seen of them was seen.
};

/// Learned index keyed by (engine, incarnation, namespace) and piece. Namespaces and engine names
/// are compared exactly; the hash only determines the position in the table. Lookup and recording
/// take time proportional to the number of pieces times the holders of each. Not thread-safe.
class prefix_index {
  public:
    /// Upper limit of the memory per entry in bytes, tables included.
    static constexpr std::size_t bytes_per_entry = 48;

    explicit prefix_index(prefix_index_settings settings);

    /// Records that `process` caches, or will soon cache, all of `pieces`. Ignored if a later
    /// incarnation of the engine is known.
    /// @param pieces leading pieces of a prompt, root first.
    void record(const cache_namespace& scope, std::span<const base::piece_hash> pieces,
                const engine_process& process, evidence why, base::monotonic_time now);

    /// Records that `process` evicted `piece`.
    void record_evicted(const cache_namespace& scope, base::piece_hash piece,
                        const engine_process& process);

    /// Records that events of `process` were lost. Its entries that no answer has confirmed become
    /// invalid.
    void record_gap(const engine_process& process);

    /// Records that `process` is the engine's current process. Entries of earlier incarnations
    /// become invalid.
    void record_incarnation(const engine_process& process);

    /// Invalidates all entries of an engine that has left.
    void forget(const base::engine_name& engine);

    /// @param within maximum age of entries, if shorter than the lifetime.
    /// @return all engines that cache at least the root, longest match first, then by name.
    std::vector<holder> lookup(const cache_namespace& scope,
                               std::span<const base::piece_hash> pieces, base::monotonic_time now,
                               base::duration within = base::duration::max()) const;

    /// @return whether `process` is assumed to cache `piece` by an entry not older than `within`.
    bool holds(const cache_namespace& scope, base::piece_hash piece, const engine_process& process,
               base::monotonic_time now, base::duration within = base::duration::max()) const;

    /// @return the number of entries, including invalid and expired ones not reclaimed yet.
    std::size_t size() const { return used_; }

  private:
    using position = std::uint32_t;
    static constexpr position none = ~position{0};

    /// One piece on one engine process.
    struct entry {
        base::piece_hash piece;
        base::monotonic_time seen_at;
        position scope = none;
        position process = none;
        position next_in_bucket = none;
        position newer = none;
        position older = none;
        std::uint16_t gaps = 0;  ///< Value of `process_record::gaps` when it was last seen.
        bool answered = false;   ///< Whether an answer has confirmed it.
    };
    static_assert(sizeof(entry) == 40);

    struct process_record {
        engine_process process;
        std::size_t entries = 0;
        /// Number of gaps in the events. It may wrap around, since an entry expires long before a
        /// value can occur again.
        std::uint16_t gaps = 0;
        bool current = false;  ///< Whether it is the engine's latest known process.
    };
    struct scope_record {
        cache_namespace scope;
        std::size_t entries = 0;
    };
    /// Leading pieces cached by one engine, as far as a lookup has followed the chain.
    struct run {
        position process = none;
        std::uint32_t pieces = 0;
        base::monotonic_time oldest;
    };

    std::optional<position> find_scope(const cache_namespace& scope) const;
    position intern_scope(const cache_namespace& scope);
    /// @return the position of `process` if it is the engine's current process.
    std::optional<position> find_process(const engine_process& process) const;
    /// Makes `process` the engine's current process unless a later incarnation is known.
    std::optional<position> intern_process(const engine_process& process);
    void retire_process(position process);

    position& bucket_of(base::piece_hash piece);
    position bucket_of(base::piece_hash piece) const;
    bool is_valid(const entry& candidate, base::monotonic_time now) const;
    /// @return the entry, or `none`.
    position find(position scope, base::piece_hash piece, position process) const;
    void touch(position scope, base::piece_hash piece, position process, evidence why,
               base::monotonic_time now);
    /// Removes the least recently seen holder of a piece with more than `holders_per_piece`.
    void limit_holders(position scope, base::piece_hash piece);
    position allocate();
    void remove(position index);
    void link_newest(position index);
    void unlink_age(position index);
    void reclaim_expired(base::monotonic_time now);
    /// Extends the runs of the engines that cache `piece` at `depth`.
    void extend(std::vector<run>& runs, std::uint32_t depth, position scope, base::piece_hash piece,
                base::monotonic_time now, base::duration within) const;

    prefix_index_settings settings_;
    std::vector<entry> entries_;
    std::vector<position> buckets_;
    std::vector<position> free_entries_;
    std::size_t used_ = 0;
    position newest_ = none;
    position oldest_ = none;

    std::unordered_map<cache_namespace, position> scope_positions_;
    std::vector<scope_record> scopes_;
    std::vector<position> free_scopes_;
    std::unordered_map<base::engine_name, position> process_positions_;
    std::vector<process_record> processes_;
    std::vector<position> free_processes_;
};

}  // namespace ferryroad::core::prefix
