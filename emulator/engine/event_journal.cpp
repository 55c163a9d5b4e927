#include "emulator/engine/event_journal.hpp"

#include <algorithm>

namespace ferryroad::emulator {

event_journal::event_journal(settings chosen) : settings_(chosen) {}

void event_journal::append(const cache_update& update, base::monotonic_time now) {
    entry added;
    added.event = {next_sequence_, update.change, update.scope,
                   update.root,    update.piece,  update.depth};
    added.published_at = now + settings_.lag;
    added.lost = settings_.loss_interval != 0 && next_sequence_ % settings_.loss_interval == 0;
    if (to_lose_ > 0) {
        --to_lose_;
        added.lost = true;
    }
    ++next_sequence_;
    entries_.push_back(std::move(added));
    if (entries_.size() > settings_.retained) {
        entries_.pop_front();
    }
}

void event_journal::reset() {
    entries_.clear();
    next_sequence_ = 1;
    to_lose_ = 0;
}

engine::cache_event_batch event_journal::read(base::incarnation process, std::uint64_t from,
                                              base::monotonic_time now) const {
    engine::cache_event_batch batch;
    batch.incarnation = process;
    batch.next_sequence = std::max<std::uint64_t>(from, 1);
    const std::uint64_t oldest = next_sequence_ - entries_.size();
    if (batch.next_sequence < oldest) {
        batch.gap = true;
        batch.next_sequence = oldest;
    }
    while (batch.next_sequence < next_sequence_ && batch.events.size() < largest_batch) {
        const entry& candidate = entries_[batch.next_sequence - oldest];
        if (candidate.published_at > now) {
            break;
        }
        if (candidate.lost) {
            batch.gap = true;
        } else {
            batch.events.push_back(candidate.event);
        }
        ++batch.next_sequence;
    }
    return batch;
}

std::optional<base::monotonic_time> event_journal::next_publication(
    base::monotonic_time now) const {
    const auto later = std::partition_point(
        entries_.begin(), entries_.end(),
        [now](const entry& candidate) { return candidate.published_at <= now; });
    if (later == entries_.end()) {
        return std::nullopt;
    }
    return later->published_at;
}

}  // namespace ferryroad::emulator
