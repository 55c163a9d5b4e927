/// @file
/// Share of a pool's streams with gaps close to the target. At engines that prefill prompts in
/// small chunks such gaps are rare, and placement need not avoid them.
#pragma once

#include "ferryroad/base/time.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

struct gap_pressure_tunables {
    /// A gap above this fraction of the target counts.
    double counted_gap_share = 0.7;
    /// Weight of the newest stream in the moving average.
    double newest_weight = 0.02;
    /// Share of streams with such gaps at which the pressure is 1.
    double saturation_share = 0.05;
};

/// Not thread-safe.
class gap_pressure {
  public:
    explicit gap_pressure(gap_pressure_tunables tunables = {})
        : m_tunables(tunables), m_share(tunables.saturation_share / 2) {}

    /// Records a stream that ended.
    /// @param longest its longest gap.
    /// @param target the target for gaps, longer than zero.
    void record(base::duration longest, base::duration target) {
        const double share = base::to_seconds(longest) / base::to_seconds(target);
        const double counted = share > m_tunables.counted_gap_share ? 1.0 : 0.0;
        m_share += m_tunables.newest_weight * (counted - m_share);
    }
    /// @return the pressure, from 0 (long gaps are rare) to 1 (they are frequent).
    double level() const { return std::min(1.0, m_share / m_tunables.saturation_share); }

  private:
    gap_pressure_tunables m_tunables;
    double m_share;
};

}  // namespace ferryroad::core::placement
