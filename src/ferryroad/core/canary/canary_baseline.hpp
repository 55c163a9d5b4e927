/// @file
/// What answers of the version in force are like on one route: what a version on trial is compared
/// with.
#pragma once

#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <array>
#include <cstddef>

namespace ferryroad::core::canary {

/// Of one route. Not thread-safe.
class canary_baseline {
  public:
    /// Takes answers of the current version that came since the last call.
    void add(const outcome_counts& more, const judge_tunables& tunables);

    /// @return answers taken, failures included.
    double answered() const { return m_answered; }
    /// @return share of answers that fail.
    double failed_share(const judge_tunables& tunables) const;
    /// @return first class of durations that is slow.
    std::size_t first_slow_class(const judge_tunables& tunables) const;
    /// @return share of answers that didn't fail that are of that class or slower.
    double slow_share(std::size_t first_slow, const judge_tunables& tunables) const;

  private:
    void fade(double factor);
    /// @return whether new answers fail or are slow at another rate than those before.
    bool is_shifted(const outcome_counts& more, const judge_tunables& tunables) const;

    double m_answered = 0;
    // The latest answers: earlier ones count less.
    double m_recent = 0;
    double m_failed = 0;
    std::array<double, duration_classes> m_durations{};
};

}  // namespace ferryroad::core::canary
