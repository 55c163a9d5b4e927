/// @file
/// How often streams of a pool pause for almost longer than they may. Where engines read
/// prompts in small pieces, they hardly ever do, and placement need not care.
#pragma once

#include "ferryroad/base/time.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

struct gap_pressure_tunables {
    /// A pause beyond this share of the target counts.
    double counted_share = 0.7;
    /// Weight of the newest stream.
    double newest_weight = 0.02;
    /// With this share of such streams the pressure is full.
    double full_share = 0.05;
};

/// Not thread-safe.
class gap_pressure {
  public:
    explicit gap_pressure(gap_pressure_tunables tunables = {})
        : m_tunables(tunables), m_share(tunables.full_share / 2) {}

    /// A stream ended. @param longest of its pauses. @param target longer than zero.
    void record(base::duration longest, base::duration target) {
        const double share = base::to_seconds(longest) / base::to_seconds(target);
        const double counted = share > m_tunables.counted_share ? 1.0 : 0.0;
        m_share += m_tunables.newest_weight * (counted - m_share);
    }
    /// @return 0 where streams pause too long hardly ever, 1 where they often do.
    double level() const { return std::min(1.0, m_share / m_tunables.full_share); }

  private:
    gap_pressure_tunables m_tunables;
    double m_share;
};

}  // namespace ferryroad::core::placement
