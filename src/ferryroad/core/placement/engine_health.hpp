/// @file
/// Passive health check with outlier ejection. An engine whose exchanges fail is suspended from new
/// work for some time and then tried again.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::core::placement {

struct health_tunables {
    /// Weight of the newest outcome in the moving average of the failure share.
    double outcome_weight = 0.3;
    /// An engine is suspended if its failure share reaches this.
    double failure_share = 0.4;
    base::duration initial_suspension = std::chrono::milliseconds(700);
    base::duration max_suspension = std::chrono::seconds(5);
};

/// Health of one engine as observed by one router. Not thread-safe.
class engine_health {
  public:
    explicit engine_health(health_tunables tunables = {})
        : m_tunables(tunables), m_suspension(tunables.initial_suspension) {}

    /// Records an exchange that completed.
    void record_success();
    /// Records an exchange that failed: no connection, connection lost, timeout or malformed
    /// answer.
    /// @param certain whether the engine is certainly down (no connection to it), which suspends it
    /// at once.
    void record_failure(bool certain, base::monotonic_time now);
    /// @return whether the engine should get no new work.
    bool suspended(base::monotonic_time now) const { return now < m_suspended_until; }
    /// @return the moving average of the share of failed exchanges.
    double failure_share() const { return m_failure_share; }

  private:
    health_tunables m_tunables;
    double m_failure_share = 0;
    base::duration m_suspension;
    base::monotonic_time m_suspended_until{};
};

}  // namespace ferryroad::core::placement
