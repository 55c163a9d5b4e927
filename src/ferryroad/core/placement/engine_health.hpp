/// @file
/// Outlier ejection: what a router's own exchanges say of an engine's health. An engine that
/// breaks exchanges gets no new work for a while, then one request as a trial.
#pragma once

#include "ferryroad/base/time.hpp"

#include <cstdint>

namespace ferryroad::core::placement {

struct health_tunables {
    /// Weight of the newest outcome in the share of failures.
    double outcome_weight = 0.3;
    /// Over this share of failures the engine is suspended.
    double failure_share = 0.4;
    base::duration first_suspension = std::chrono::milliseconds(700);
    base::duration longest_suspension = std::chrono::seconds(5);
};

/// Of one engine, as one router sees it. Not thread-safe.
class engine_health {
  public:
    explicit engine_health(health_tunables tunables = {})
        : m_tunables(tunables), m_suspension(tunables.first_suspension) {}

    /// An exchange ended as it should.
    void record_success();
    /// An exchange broke: no connection, a cut, silence, or bytes that are no answer.
    /// @param certain whether the engine surely serves nobody (no connection to it).
    void record_failure(bool certain, base::monotonic_time now);
    /// @return whether new work should go elsewhere.
    bool suspended(base::monotonic_time now) const { return now < m_suspended_until; }
    /// @return the share of exchanges that broke of late.
    double failure_share() const { return m_failure_share; }

  private:
    health_tunables m_tunables;
    double m_failure_share = 0;
    base::duration m_suspension;
    base::monotonic_time m_suspended_until{};
};

}  // namespace ferryroad::core::placement
