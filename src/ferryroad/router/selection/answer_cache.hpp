/// @file
/// Short-lived cache of owners' answers about frequently requested roots.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace ferryroad::router::selection {

/// Stores each answer under the deepest piece that any engine holds and returns it for every
/// prompt that contains this piece. Until the answer expires, deeper pieces of such a prompt are
/// assumed not to be cached on any engine.
class answer_cache {
  public:
    /// @param capacity largest number of answers, at least 1.
    explicit answer_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Stores an answer for `lifetime`; does nothing if it has no holders.
    void add(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& pieces,
             const core::prefix::owner_answer& answer, base::monotonic_time now,
             base::duration lifetime);
    /// @return the unexpired answer stored under the deepest possible piece of `pieces`, with its
    /// ages brought up to `now`.
    std::optional<core::prefix::owner_answer> find(const core::prefix::cache_namespace& scope,
                                                   const core::prefix::piece_chain& pieces,
                                                   base::monotonic_time now) const;

  private:
    struct cached_answer {
        core::prefix::cache_namespace scope;
        core::prefix::owner_answer answer;
        base::monotonic_time answered_at;
        base::monotonic_time expires_at;
    };

    void evict_if_full(base::monotonic_time now);

    std::size_t capacity_;
    std::unordered_map<base::piece_hash, cached_answer> answers_;
};

}  // namespace ferryroad::router::selection
