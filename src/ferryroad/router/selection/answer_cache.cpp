#include "ferryroad/router/selection/answer_cache.hpp"

#include <algorithm>

namespace ferryroad::router::selection {

namespace {

core::prefix::owner_answer add_age(core::prefix::owner_answer answer, base::duration elapsed) {
    for (core::prefix::holder& each : answer.holders) {
        each.age += elapsed;
    }
    for (core::prefix::recent_dispatch& each : answer.dispatches) {
        each.age += elapsed;
    }
    return answer;
}

}  // namespace

void answer_cache::add(const core::prefix::cache_namespace& scope,
                       const core::prefix::piece_chain& pieces,
                       const core::prefix::owner_answer& answer, base::monotonic_time now,
                       base::duration lifetime) {
    if (answer.holders.empty()) {
        return;
    }
    evict_if_full(now);
    // Holders are sorted by match length, longest first.
    const base::piece_hash deepest = pieces[answer.holders.front().pieces - 1];
    answers_.insert_or_assign(deepest, cached_answer{scope, answer, now, now + lifetime});
}

std::optional<core::prefix::owner_answer> answer_cache::find(
    const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& pieces,
    base::monotonic_time now) const {
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece) {
        const auto cached = answers_.find(*piece);
        const bool usable = cached != answers_.end() && cached->second.scope == scope &&
                            now <= cached->second.expires_at;
        if (usable) {
            return add_age(cached->second.answer, now - cached->second.answered_at);
        }
    }
    return std::nullopt;
}

void answer_cache::evict_if_full(base::monotonic_time now) {
    if (answers_.size() < capacity_) {
        return;
    }
    std::erase_if(answers_, [now](const auto& each) { return now > each.second.expires_at; });
    if (answers_.size() >= capacity_) {
        answers_.erase(std::min_element(answers_.begin(), answers_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.expires_at < right.second.expires_at;
                                        }));
    }
}

}  // namespace ferryroad::router::selection
