#include "ferryroad/core/routing/import_limiter.hpp"

#include <algorithm>

namespace ferryroad::core::routing {

namespace {

bool same(const import_move& left, const import_move& right) {
    return left.deepest == right.deepest && left.target == right.target;
}

}  // namespace

bool import_limiter::begin(const import_move& move, base::monotonic_time now) {
    drop_expired(now);
    const bool in_flight =
        std::any_of(moves_.begin(), moves_.end(),
                    [&move](const active_move& each) { return same(each.move, move); });
    if (in_flight) {
        ++counters_.same_in_flight;
        return false;
    }
    if (over_limit(move)) {
        ++counters_.over_limit;
        return false;
    }
    ++counters_.started;
    moves_.push_back({move, now});
    return true;
}

void import_limiter::finish(const import_move& move) {
    std::erase_if(moves_, [&move](const active_move& each) { return same(each.move, move); });
}

std::size_t import_limiter::in_progress(base::monotonic_time now) {
    drop_expired(now);
    return moves_.size();
}

void import_limiter::drop_expired(base::monotonic_time now) {
    std::erase_if(moves_, [this, now](const active_move& each) {
        return now - each.started_at >= limits_.max_duration;
    });
}

bool import_limiter::over_limit(const import_move& move) const {
    const auto of_source =
        std::count_if(moves_.begin(), moves_.end(),
                      [&move](const active_move& each) { return each.move.source == move.source; });
    const auto of_target =
        std::count_if(moves_.begin(), moves_.end(),
                      [&move](const active_move& each) { return each.move.target == move.target; });
    const auto most = static_cast<std::ptrdiff_t>(limits_.max_per_engine);
    return moves_.size() >= limits_.max_concurrent || of_source >= most || of_target >= most;
}

}  // namespace ferryroad::core::routing
