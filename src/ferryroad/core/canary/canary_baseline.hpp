/// @file
/// Baseline for the canary analysis: failures and durations of the current version on one route.
#pragma once

#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <array>
#include <cstddef>

namespace ferryroad::core::canary {

/// Baseline of one route. Not thread-safe.
class canary_baseline {
  public:
    /// Adds the answers of the current version since the last call.
    void add(const outcome_counts& more, const judge_tunables& tunables);

    /// @return the number of answers added, failures included.
    double answered() const { return m_answered; }
    /// @return the share of answers that failed.
    double failed_share(const judge_tunables& tunables) const;
    /// @return the index of the first duration class that counts as slow.
    std::size_t first_slow_class(const judge_tunables& tunables) const;
    /// @return the share of successful answers in class `first_slow` or a slower one.
    double slow_share(std::size_t first_slow, const judge_tunables& tunables) const;

  private:
    /// Scales down the weight of the answers so far.
    void decay(double factor);
    /// @return whether the failure or slow rate of the new answers differs from that before.
    bool is_shifted(const outcome_counts& more, const judge_tunables& tunables) const;

    double m_answered = 0;
    // Exponentially decayed counts.
    double m_decayed_answered = 0;
    double m_failed = 0;
    std::array<double, duration_classes> m_durations{};
};

}  // namespace ferryroad::core::canary
