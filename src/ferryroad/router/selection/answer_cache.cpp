#include "ferryroad/router/selection/answer_cache.hpp"

#include <algorithm>

namespace ferryroad::router::selection {

namespace {

core::prefix::owner_answer aged(core::prefix::owner_answer answer, base::duration by) {
    for (core::prefix::holder& each : answer.holders) {
        each.age += by;
    }
    for (core::prefix::recent_dispatch& each : answer.dispatches) {
        each.age += by;
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
    make_room(now);
    // Holders come longest match first.
    const base::piece_hash deepest = pieces[answer.holders.front().pieces - 1];
    answers_.insert_or_assign(deepest, kept_answer{scope, answer, now, now + lifetime});
}

std::optional<core::prefix::owner_answer> answer_cache::find(
    const core::prefix::cache_namespace& scope, const core::prefix::piece_chain& pieces,
    base::monotonic_time now) const {
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece) {
        const auto kept = answers_.find(*piece);
        const bool usable =
            kept != answers_.end() && kept->second.scope == scope && now <= kept->second.ends_at;
        if (usable) {
            return aged(kept->second.answer, now - kept->second.answered_at);
        }
    }
    return std::nullopt;
}

void answer_cache::make_room(base::monotonic_time now) {
    if (answers_.size() < capacity_) {
        return;
    }
    std::erase_if(answers_, [now](const auto& each) { return now > each.second.ends_at; });
    if (answers_.size() >= capacity_) {
        answers_.erase(std::min_element(answers_.begin(), answers_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.ends_at < right.second.ends_at;
                                        }));
    }
}

}  // namespace ferryroad::router::selection
