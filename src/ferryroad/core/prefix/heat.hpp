/// @file
/// Request rates of the most requested prefixes, in bounded memory.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::prefix {

struct heat_settings {
    /// Number of counters. A piece whose share of all requests is above 1 / entries is always
    /// counted.
    std::size_t entries = 256;
    /// Half-life of the exponential decay of counts.
    base::duration half_life = std::chrono::seconds(10);
};

struct hot_piece {
    base::piece_hash piece;
    double requests_per_second = 0;
};

/// Heavy-hitter sketch: the space-saving algorithm over exponentially decayed counts. While a piece
/// is counted, its rate is never below the true decayed rate, and above it by at most the smallest
/// counted rate at the time when the piece got its counter. Pieces are identified by their chained
/// hash alone, since the rates only guide replication and give no access to cached state. Not
/// thread-safe.
class heat {
  public:
    explicit heat(heat_settings settings);

    /// Records a request for `piece`.
    /// @param now not before that of earlier calls.
    void record(base::piece_hash piece, base::monotonic_time now);
    /// @return requests per second; 0 if the piece has no counter.
    double rate(base::piece_hash piece, base::monotonic_time now) const;
    /// @return the pieces with the highest rates, at most `count`, highest first.
    std::vector<hot_piece> hottest(std::size_t count, base::monotonic_time now) const;

  private:
    struct counter {
        base::piece_hash piece;
        double weight = 0;  ///< Decayed count at `counted_at`.
        base::monotonic_time counted_at;
    };

    double decayed(const counter& each, base::monotonic_time now) const;
    double to_rate(double weight) const;

    heat_settings settings_;
    std::vector<counter> counters_;
};

}  // namespace ferryroad::core::prefix
