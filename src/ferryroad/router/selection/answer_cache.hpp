/// @file
/// Owners' answers about very hot roots, kept for a moment.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace ferryroad::router::selection {

/// An answer is kept under the deepest piece that any engine holds, and serves every prompt
/// that goes through that piece: what lies deeper on the prompt's own branch is then taken
/// for missing until the answer ends.
class answer_cache {
  public:
    /// @param capacity answers kept, at least 1.
    explicit answer_cache(std::size_t capacity) : capacity_(capacity) {}

    void add(const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& pieces,
             const core::prefix::owner_answer& answer, base::monotonic_time now,
             base::duration lifetime);
    /// @return the answer, its ages as of now, kept under the deepest of `pieces` that has one.
    std::optional<core::prefix::owner_answer> find(const core::prefix::cache_namespace& scope,
                                                   const core::prefix::piece_chain& pieces,
                                                   base::monotonic_time now) const;

  private:
    struct kept_answer {
        core::prefix::cache_namespace scope;
        core::prefix::owner_answer answer;
        base::monotonic_time answered_at;
        base::monotonic_time ends_at;
    };

    void make_room(base::monotonic_time now);

    std::size_t capacity_;
    std::unordered_map<base::piece_hash, kept_answer> answers_;
};

}  // namespace ferryroad::router::selection
