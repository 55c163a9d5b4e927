#include "ferryroad/core/prefix/prefix_index.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace ferryroad::core::prefix {

namespace {

/// Maximum number of expired entries reclaimed by each recording. It is above 1, so that expired
/// entries don't accumulate.
constexpr std::size_t max_reclaimed_per_recording = 4;

/// @return a free position in `records`, or else a new one.
template <typename Record>
std::uint32_t take_position(std::vector<Record>& records, std::vector<std::uint32_t>& free) {
    if (free.empty()) {
        records.emplace_back();
        return static_cast<std::uint32_t>(records.size() - 1);
    }
    const std::uint32_t index = free.back();
    free.pop_back();
    return index;
}

}  // namespace

prefix_index::prefix_index(prefix_index_settings settings) : settings_(settings) {
    settings_.entries = std::max<std::size_t>(settings_.entries, 1);
    settings_.holders_per_piece = std::max<std::size_t>(settings_.holders_per_piece, 1);
    // Growth by doubling would exceed the memory limit. Reserved pages take no memory until used.
    entries_.reserve(settings_.entries);
    buckets_.assign(std::bit_floor(settings_.entries), none);
}

void prefix_index::record(const cache_namespace& scope, std::span<const base::piece_hash> pieces,
                          const engine_process& process, evidence why, base::monotonic_time now) {
    const auto process_position = intern_process(process);
    if (!process_position || pieces.empty()) {
        return;
    }
    reclaim_expired(now);
    const position scope_position = intern_scope(scope);
    // An additional reference keeps the scope while entries are added and removed below.
    ++scopes_[scope_position].entries;
    // The root is touched last, so that it is evicted last, as in an engine's cache.
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece) {
        touch(scope_position, *piece, *process_position, why, now);
    }
    if (--scopes_[scope_position].entries == 0) {
        scope_positions_.erase(scope);
        free_scopes_.push_back(scope_position);
    }
}

void prefix_index::record_evicted(const cache_namespace& scope, base::piece_hash piece,
                                  const engine_process& process) {
    const auto scope_position = find_scope(scope);
    const auto process_position = find_process(process);
    if (!scope_position || !process_position) {
        return;
    }
    const position found = find(*scope_position, piece, *process_position);
    if (found != none) {
        remove(found);
    }
}

void prefix_index::record_gap(const engine_process& process) {
    const auto known = intern_process(process);
    if (known) {
        ++processes_[*known].gaps;
    }
}

void prefix_index::record_incarnation(const engine_process& process) {
    intern_process(process);
}

void prefix_index::forget(const base::engine_name& engine) {
    const auto known = process_positions_.find(engine);
    if (known == process_positions_.end()) {
        return;
    }
    const position retired = known->second;
    process_positions_.erase(known);
    retire_process(retired);
}

std::vector<holder> prefix_index::lookup(const cache_namespace& scope,
                                         std::span<const base::piece_hash> pieces,
                                         base::monotonic_time now, base::duration within) const {
    const auto scope_position = find_scope(scope);
    if (!scope_position) {
        return {};
    }
    std::vector<run> runs;
    for (std::uint32_t depth = 0; depth < pieces.size(); ++depth) {
        extend(runs, depth, *scope_position, pieces[depth], now, within);
        const bool any_longer = std::any_of(runs.begin(), runs.end(), [depth](const run& each) {
            return each.pieces == depth + 1;
        });
        if (!any_longer) {
            break;
        }
    }
    std::vector<holder> holders;
    holders.reserve(runs.size());
    for (const run& each : runs) {
        holders.push_back({processes_[each.process].process, each.pieces, now - each.oldest});
    }
    std::sort(holders.begin(), holders.end(), [](const holder& left, const holder& right) {
        return left.pieces != right.pieces ? left.pieces > right.pieces
                                           : left.process < right.process;
    });
    return holders;
}

void prefix_index::extend(std::vector<run>& runs, std::uint32_t depth, position scope,
                          base::piece_hash piece, base::monotonic_time now,
                          base::duration within) const {
    for (position at = bucket_of(piece); at != none; at = entries_[at].next_in_bucket) {
        const entry& candidate = entries_[at];
        if (candidate.piece != piece || candidate.scope != scope || !is_valid(candidate, now) ||
            now - candidate.seen_at > within) {
            continue;
        }
        if (depth == 0) {
            runs.push_back({candidate.process, 1, candidate.seen_at});
            continue;
        }
        const auto same = std::find_if(runs.begin(), runs.end(), [&](const run& each) {
            return each.process == candidate.process && each.pieces == depth;
        });
        if (same != runs.end()) {
            ++same->pieces;
            same->oldest = std::min(same->oldest, candidate.seen_at);
        }
    }
}

bool prefix_index::holds(const cache_namespace& scope, base::piece_hash piece,
                         const engine_process& process, base::monotonic_time now,
                         base::duration within) const {
    const auto scope_position = find_scope(scope);
    const auto process_position = find_process(process);
    if (!scope_position || !process_position) {
        return false;
    }
    const position found = find(*scope_position, piece, *process_position);
    return found != none && is_valid(entries_[found], now) &&
           now - entries_[found].seen_at <= within;
}

std::optional<prefix_index::position> prefix_index::find_scope(const cache_namespace& scope) const {
    const auto known = scope_positions_.find(scope);
    if (known == scope_positions_.end()) {
        return std::nullopt;
    }
    return known->second;
}

prefix_index::position prefix_index::intern_scope(const cache_namespace& scope) {
    const auto [known, is_new] = scope_positions_.try_emplace(scope, none);
    if (is_new) {
        known->second = take_position(scopes_, free_scopes_);
        scopes_[known->second] = {scope, 0};
    }
    return known->second;
}

std::optional<prefix_index::position> prefix_index::find_process(
    const engine_process& process) const {
    const auto known = process_positions_.find(process.engine);
    if (known == process_positions_.end() ||
        processes_[known->second].process.incarnation != process.incarnation) {
        return std::nullopt;
    }
    return known->second;
}

std::optional<prefix_index::position> prefix_index::intern_process(const engine_process& process) {
    if (process.incarnation.value == 0) {
        return std::nullopt;  // Incarnation 0 means that the incarnation is not known.
    }
    const auto [known, is_new] = process_positions_.try_emplace(process.engine, none);
    if (!is_new) {
        const base::incarnation current = processes_[known->second].process.incarnation;
        if (process.incarnation == current) {
            return known->second;
        }
        if (process.incarnation < current) {
            return std::nullopt;
        }
        retire_process(known->second);
    }
    known->second = take_position(processes_, free_processes_);
    processes_[known->second] = {process, 0, 0, true};
    return known->second;
}

void prefix_index::retire_process(position process) {
    processes_[process].current = false;
    if (processes_[process].entries == 0) {
        free_processes_.push_back(process);
    }
}

prefix_index::position& prefix_index::bucket_of(base::piece_hash piece) {
    return buckets_[piece.value & (buckets_.size() - 1)];
}

prefix_index::position prefix_index::bucket_of(base::piece_hash piece) const {
    return buckets_[piece.value & (buckets_.size() - 1)];
}

bool prefix_index::is_valid(const entry& candidate, base::monotonic_time now) const {
    const process_record& process = processes_[candidate.process];
    if (!process.current || now - candidate.seen_at > settings_.lifetime) {
        return false;
    }
    return candidate.answered || candidate.gaps == process.gaps;
}

prefix_index::position prefix_index::find(position scope, base::piece_hash piece,
                                          position process) const {
    position at = bucket_of(piece);
    while (at != none && (entries_[at].piece != piece || entries_[at].scope != scope ||
                          entries_[at].process != process)) {
        at = entries_[at].next_in_bucket;
    }
    return at;
}

void prefix_index::touch(position scope, base::piece_hash piece, position process, evidence why,
                         base::monotonic_time now) {
    const position known = find(scope, piece, process);
    if (known != none) {
        entry& existing = entries_[known];
        // An entry that had become invalid must not become valid again by an old answer.
        existing.answered =
            (existing.answered && is_valid(existing, now)) || why == evidence::answer;
        existing.seen_at = now;
        existing.gaps = processes_[process].gaps;
        unlink_age(known);
        link_newest(known);
        return;
    }
    const position added = allocate();
    position& bucket = bucket_of(piece);
    entries_[added] = {.piece = piece,
                       .seen_at = now,
                       .scope = scope,
                       .process = process,
                       .next_in_bucket = bucket,
                       .gaps = processes_[process].gaps,
                       .answered = why == evidence::answer};
    bucket = added;
    ++scopes_[scope].entries;
    ++processes_[process].entries;
    link_newest(added);
    limit_holders(scope, piece);
}

void prefix_index::limit_holders(position scope, base::piece_hash piece) {
    std::size_t holders = 0;
    position least_recent = none;
    for (position at = bucket_of(piece); at != none; at = entries_[at].next_in_bucket) {
        const entry& candidate = entries_[at];
        if (candidate.piece != piece || candidate.scope != scope) {
            continue;
        }
        ++holders;
        if (least_recent == none || candidate.seen_at <= entries_[least_recent].seen_at) {
            least_recent = at;
        }
    }
    if (holders > settings_.holders_per_piece) {
        remove(least_recent);
    }
}

prefix_index::position prefix_index::allocate() {
    if (used_ >= settings_.entries) {
        remove(oldest_);
    }
    ++used_;
    return take_position(entries_, free_entries_);
}

void prefix_index::remove(position index) {
    const entry removed = entries_[index];
    position* link = &bucket_of(removed.piece);
    while (*link != index) {
        link = &entries_[*link].next_in_bucket;
    }
    *link = removed.next_in_bucket;
    unlink_age(index);
    free_entries_.push_back(index);
    --used_;
    process_record& process = processes_[removed.process];
    if (--process.entries == 0 && !process.current) {
        free_processes_.push_back(removed.process);
    }
    scope_record& scope = scopes_[removed.scope];
    if (--scope.entries == 0) {
        scope_positions_.erase(scope.scope);
        free_scopes_.push_back(removed.scope);
    }
}

void prefix_index::link_newest(position index) {
    entries_[index].newer = none;
    entries_[index].older = newest_;
    if (newest_ != none) {
        entries_[newest_].newer = index;
    } else {
        oldest_ = index;
    }
    newest_ = index;
}

void prefix_index::unlink_age(position index) {
    const entry& unlinked = entries_[index];
    if (unlinked.newer != none) {
        entries_[unlinked.newer].older = unlinked.older;
    } else {
        newest_ = unlinked.older;
    }
    if (unlinked.older != none) {
        entries_[unlinked.older].newer = unlinked.newer;
    } else {
        oldest_ = unlinked.newer;
    }
}

void prefix_index::reclaim_expired(base::monotonic_time now) {
    for (std::size_t count = 0; count < max_reclaimed_per_recording; ++count) {
        if (oldest_ == none || now - entries_[oldest_].seen_at <= settings_.lifetime) {
            return;
        }
        remove(oldest_);
    }
}

}  // namespace ferryroad::core::prefix
