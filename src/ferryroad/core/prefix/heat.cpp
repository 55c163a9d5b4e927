#include "ferryroad/core/prefix/heat.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace ferryroad::core::prefix {

heat::heat(heat_settings settings) : settings_(settings) {
    settings_.entries = std::max<std::size_t>(settings_.entries, 1);
    counters_.reserve(settings_.entries);
}

void heat::record(base::piece_hash piece, base::monotonic_time now) {
    const auto known = std::find_if(counters_.begin(), counters_.end(),
                                    [piece](const counter& each) { return each.piece == piece; });
    if (known != counters_.end()) {
        known->weight = decayed(*known, now) + 1;
        known->counted_at = now;
        return;
    }
    if (counters_.size() < settings_.entries) {
        counters_.push_back({piece, 1, now});
        return;
    }
    const auto smallest = std::min_element(counters_.begin(), counters_.end(),
                                           [this, now](const counter& left, const counter& right) {
                                               return decayed(left, now) < decayed(right, now);
                                           });
    *smallest = {piece, decayed(*smallest, now) + 1, now};
}

double heat::rate(base::piece_hash piece, base::monotonic_time now) const {
    const auto known = std::find_if(counters_.begin(), counters_.end(),
                                    [piece](const counter& each) { return each.piece == piece; });
    return known == counters_.end() ? 0 : to_rate(decayed(*known, now));
}

std::vector<hot_piece> heat::hottest(std::size_t count, base::monotonic_time now) const {
    std::vector<hot_piece> pieces;
    pieces.reserve(counters_.size());
    for (const counter& each : counters_) {
        pieces.push_back({each.piece, to_rate(decayed(each, now))});
    }
    std::sort(pieces.begin(), pieces.end(), [](const hot_piece& left, const hot_piece& right) {
        return left.requests_per_second != right.requests_per_second
                   ? left.requests_per_second > right.requests_per_second
                   : left.piece < right.piece;
    });
    pieces.resize(std::min(count, pieces.size()));
    return pieces;
}

double heat::decayed(const counter& each, base::monotonic_time now) const {
    return each.weight * std::exp2(-base::to_seconds(now - each.counted_at) /
                                   base::to_seconds(settings_.half_life));
}

double heat::to_rate(double weight) const {
    return weight * std::numbers::ln2 / base::to_seconds(settings_.half_life);
}

}  // namespace ferryroad::core::prefix
