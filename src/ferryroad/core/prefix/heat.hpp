/// @file
/// Which prefixes are asked for most, in bounded memory.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::core::prefix {

struct heat_settings {
    /// Pieces counted at once. A piece whose share of all requests is above 1 / entries is
    /// never missed.
    std::size_t entries = 256;
    /// A request counts half after this long.
    base::duration half_life = std::chrono::seconds(10);
};

struct hot_piece {
    base::piece_hash piece;
    double requests_per_second = 0;
};

/// Heavy-hitter sketch: the space-saving algorithm over exponentially decayed counts. A rate
/// is never under the true decayed one while the piece is counted, and over it by at most
/// the smallest counted rate at the time the piece came in. Pieces are told apart by their
/// chained hash alone: the figures guide replication and grant no use of cached state.
class heat {
  public:
    explicit heat(heat_settings settings);

    /// One request for `piece`. `now` never falls.
    void record(base::piece_hash piece, base::monotonic_time now);
    /// @return requests a second; 0 where the piece is not among those counted.
    double rate(base::piece_hash piece, base::monotonic_time now) const;
    /// @return the hottest pieces first, at most `count` of them.
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
