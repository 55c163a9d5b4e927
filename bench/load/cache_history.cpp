#include "bench/load/cache_history.hpp"

#include <algorithm>

namespace ferryroad::bench::load {

void cache_history::accept(std::size_t engine, const engine::cache_event& event, double at) {
    std::vector<holding>& entries = holdings_[event.piece];
    const auto open = std::find_if(entries.begin(), entries.end(), [engine](const holding& entry) {
        return entry.engine == engine && !entry.until;
    });
    if (event.change == engine::cache_change::evicted) {
        if (open != entries.end()) {
            open->until = at;
        }
        return;
    }
    if (open == entries.end()) {
        entries.push_back({engine, at, std::nullopt});
    }
}

void cache_history::forget(std::size_t engine, double at) {
    for (auto& [piece, entries] : holdings_) {
        for (holding& entry : entries) {
            if (entry.engine == engine && !entry.until) {
                entry.until = at;
            }
        }
    }
}

bool cache_history::held(const base::piece_hash& piece, double at) const {
    const auto found = holdings_.find(piece);
    if (found == holdings_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [at](const holding& entry) {
        return entry.from <= at && (!entry.until || *entry.until > at);
    });
}

}  // namespace ferryroad::bench::load
