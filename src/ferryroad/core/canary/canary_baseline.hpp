/// @file
/// What answers of the version in force are like on one route: what a version on trial is compared
/// with.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <array>
#include <cstddef>

namespace ferryroad::core::canary {

/// Of one route. Not thread-safe.
class canary_baseline {
  public:
    /// Takes answers of the current version that came since the last call.
    /// @param elapsed since that call.
    void add(const outcome_counts& more, base::duration elapsed, const judge_tunables& tunables);

    /// @return answers taken, failures included.
    double answered() const { return m_all.answered; }
    /// @return share of answers that fail, recent ones above all.
    double failed_share(const judge_tunables& tunables) const;
    /// @return first class of durations that is slow.
    std::size_t first_slow_class(const judge_tunables& tunables) const;
    /// @return share of answers that didn't fail that are of that class or slower.
    double slow_share(std::size_t first_slow, const judge_tunables& tunables) const;

  private:
    struct weighed_counts {
        double answered = 0;
        double failed = 0;
        std::array<double, duration_classes> durations{};

        void fade(double factor);
        void add(const outcome_counts& more);
    };

    /// @return recent answers, and all together as if they were `least_current` recent ones.
    weighed_counts compared_with(const judge_tunables& tunables) const;

    weighed_counts m_recent;
    weighed_counts m_all;
};

}  // namespace ferryroad::core::canary
