/// @file
/// Which engine is believed to hold which pieces: learned from dispatches, answers and cache
/// events, all of them late and some of them lost.
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

/// Bounds of a prefix index.
struct prefix_index_settings {
    /// Entries (one piece on one engine) kept at most; the least recently seen go first.
    std::size_t entries = 65536;
    /// An entry not seen again for this long is no longer believed.
    base::duration lifetime = std::chrono::seconds(20);
    /// Engines remembered for one piece at most; the least recently seen goes first.
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

/// Why pieces are believed to be cached.
enum class evidence {
    dispatch,  ///< A request with them was sent there: it will hold them soon.
    event,     ///< The engine's event stream said so.
    answer     ///< The engine's answer to a request said so; outlives a gap in its events.
};

/// An engine that holds leading pieces of a prompt.
struct holder {
    engine_process process;
    std::uint32_t pieces = 0;  ///< Leading pieces held, at least 1.
    base::duration age{};      ///< Since the least recently seen of these pieces was seen.
};

/// Learned index keyed by (engine, incarnation, namespace) and piece. Namespaces and engine
/// names are compared exactly; only table placement goes by hash. Lookup and recording take
/// time linear in the number of pieces, times the holders of each. Not thread-safe.
class prefix_index {
  public:
    /// Upper bound of the memory one entry takes, tables included, in bytes.
    static constexpr std::size_t bytes_per_entry = 48;

    explicit prefix_index(prefix_index_settings settings);

    /// `process` holds, or is about to hold, all of `pieces` (leading pieces, root first).
    /// Ignored where a later incarnation of that engine is known.
    void record(const cache_namespace& scope, std::span<const base::piece_hash> pieces,
                const engine_process& process, evidence why, base::monotonic_time now);

    /// `process` dropped `piece`.
    void record_evicted(const cache_namespace& scope, base::piece_hash piece,
                        const engine_process& process);

    /// Events of `process` were lost: all that no answer has confirmed is void.
    void record_gap(const engine_process& process);

    /// `process` is the engine's process now: what earlier incarnations held is void.
    void record_incarnation(const engine_process& process);

    /// The engine is gone: nothing of it is believed any more.
    void forget(const base::engine_name& engine);

    /// @param within only pieces seen this lately count; the lifetime where it is shorter.
    /// @return each engine that holds at least the root, longest match first, then by name.
    std::vector<holder> lookup(const cache_namespace& scope,
                               std::span<const base::piece_hash> pieces, base::monotonic_time now,
                               base::duration within = base::duration::max()) const;

    /// @return true where `process` is believed to hold `piece`, seen within `within`.
    bool holds(const cache_namespace& scope, base::piece_hash piece, const engine_process& process,
               base::monotonic_time now, base::duration within = base::duration::max()) const;

    /// @return entries kept, void and outdated ones that are not yet reclaimed included.
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
        std::uint16_t gaps = 0;  ///< Gaps in its process's events when it was last seen.
        bool answered = false;
    };
    static_assert(sizeof(entry) == 40);

    struct process_record {
        engine_process process;
        std::size_t entries = 0;
        std::uint16_t gaps = 0;  ///< Wraps: entries outlive their lifetime by far less.
        bool current = false;
    };
    struct scope_record {
        cache_namespace scope;
        std::size_t entries = 0;
    };
    /// A run of leading pieces on one engine while a lookup walks down the chain.
    struct run {
        position process = none;
        std::uint32_t pieces = 0;
        base::monotonic_time oldest;
    };

    std::optional<position> find_scope(const cache_namespace& scope) const;
    position intern_scope(const cache_namespace& scope);
    /// @return the engine's current process, if `process` is it.
    std::optional<position> find_process(const engine_process& process) const;
    /// Makes `process` the current one unless a later incarnation is known.
    std::optional<position> intern_process(const engine_process& process);
    void retire_process(position process);

    position& bucket_of(base::piece_hash piece);
    position bucket_of(base::piece_hash piece) const;
    bool believed(const entry& candidate, base::monotonic_time now) const;
    /// @return the entry, or `none`.
    position find(position scope, base::piece_hash piece, position process) const;
    void touch(position scope, base::piece_hash piece, position process, evidence why,
               base::monotonic_time now);
    /// Removes the least recently seen holder of a piece that has too many.
    void bound_holders(position scope, base::piece_hash piece);
    position allocate();
    void remove(position index);
    void link_newest(position index);
    void unlink_age(position index);
    void reclaim_outdated(base::monotonic_time now);
    /// Lengthens the runs of engines that hold `piece` at `depth`.
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
