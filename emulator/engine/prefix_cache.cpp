#include "emulator/engine/prefix_cache.hpp"

#include "ferryroad/base/hash.hpp"

#include <iterator>
#include <utility>

namespace ferryroad::emulator {

using core::prefix::cache_namespace;
using core::prefix::piece_chain;

std::size_t prefix_cache::entry_key_hash::operator()(const entry_key& key) const noexcept {
    return base::hash_pair(key.scope, key.piece.value);
}

prefix_cache::prefix_cache(std::uint32_t capacity) : capacity_(capacity) {}

const prefix_cache::scope_number* prefix_cache::find_scope(const cache_namespace& scope) const {
    const auto found = scope_numbers_.find(scope);
    return found == scope_numbers_.end() ? nullptr : &found->second;
}

prefix_cache::scope_number prefix_cache::scope_of(const cache_namespace& scope) {
    const auto next = static_cast<scope_number>(scopes_.size());
    const auto [position, added] = scope_numbers_.try_emplace(scope, next);
    if (added) {
        scopes_.push_back(scope);
    }
    return position->second;
}

std::uint32_t prefix_cache::match(const cache_namespace& scope, const piece_chain& chain) const {
    const scope_number* number = find_scope(scope);
    if (number == nullptr) {
        return 0;
    }
    std::uint32_t cached = 0;
    while (cached < chain.size() && entries_.contains({*number, chain[cached]})) {
        ++cached;
    }
    return cached;
}

std::uint32_t prefix_cache::pin(const cache_namespace& scope, const piece_chain& chain) {
    const std::uint32_t cached = match(scope, chain);
    if (cached == 0) {
        return 0;
    }
    const scope_number number = scope_of(scope);
    for (std::uint32_t depth = 0; depth < cached; ++depth) {
        pin_entry(entries_.at({number, chain[depth]}));
    }
    return cached;
}

bool prefix_cache::append(const cache_namespace& scope, const piece_chain& chain,
                          std::uint32_t depth) {
    const entry_key key{scope_of(scope), chain[depth]};
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        pin_entry(found->second);
        return true;
    }
    if (entries_.size() >= capacity_) {
        if (unpinned_.empty()) {
            return false;
        }
        evict_oldest();
    }
    pinned_.push_front({key, chain.front(), depth, 1});
    entries_.emplace(key, pinned_.begin());
    record(engine::cache_change::stored, pinned_.front());
    return true;
}

void prefix_cache::unpin(const cache_namespace& scope, const piece_chain& chain,
                         std::uint32_t count) {
    const scope_number number = scope_of(scope);
    // The root comes last, so that it is the most recently used.
    for (std::uint32_t depth = count; depth-- > 0;) {
        const auto found = entries_.find({number, chain[depth]});
        if (found == entries_.end()) {
            continue;  // Dropped by `clear` since it was pinned.
        }
        const auto position = found->second;
        if (--position->pins == 0) {
            unpinned_.splice(unpinned_.begin(), pinned_, position);
        }
    }
}

void prefix_cache::clear() {
    while (!unpinned_.empty()) {
        evict_oldest();
    }
    for (const entry& dropped : pinned_) {
        record(engine::cache_change::evicted, dropped);
    }
    pinned_.clear();
    entries_.clear();
}

std::vector<cache_update> prefix_cache::take_updates() {
    return std::exchange(updates_, {});
}

void prefix_cache::pin_entry(entry_list::iterator position) {
    if (position->pins++ == 0) {
        pinned_.splice(pinned_.begin(), unpinned_, position);
    }
}

void prefix_cache::evict_oldest() {
    const auto oldest = std::prev(unpinned_.end());
    record(engine::cache_change::evicted, *oldest);
    entries_.erase(oldest->key);
    unpinned_.erase(oldest);
}

void prefix_cache::record(engine::cache_change change, const entry& changed) {
    updates_.push_back(
        {change, scopes_[changed.key.scope], changed.root, changed.key.piece, changed.depth});
}

}  // namespace ferryroad::emulator
