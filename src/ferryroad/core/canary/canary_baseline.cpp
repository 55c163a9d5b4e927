#include "ferryroad/core/canary/canary_baseline.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::core::canary {

namespace {

/// Duration classes are half octaves.
constexpr double classes_per_octave = 2;

/// @return `count` of `total` with a prior of `least_current` answers with the least share.
double smoothed(double count, double total, double least, const judge_tunables& tunables) {
    const double prior = tunables.least_current;
    return std::max(least, (count + prior * least) / (total + prior));
}

}  // namespace

void canary_baseline::weighed_counts::fade(double factor) {
    answered *= factor;
    failed *= factor;
    for (double& count : durations) {
        count *= factor;
    }
}

void canary_baseline::weighed_counts::add(const outcome_counts& more) {
    answered += more.answered;
    failed += more.failed;
    for (std::size_t index = 0; index < durations.size(); ++index) {
        durations[index] += more.durations[index];
    }
}

void canary_baseline::add(const outcome_counts& more, base::duration elapsed,
                          const judge_tunables& tunables) {
    const double half_lives = base::to_seconds(elapsed) / base::to_seconds(tunables.half_life);
    m_recent.fade(std::exp2(-std::max(0.0, half_lives)));
    m_recent.add(more);
    m_all.add(more);
}

canary_baseline::weighed_counts canary_baseline::compared_with(
    const judge_tunables& tunables) const {
    weighed_counts both = m_all;
    both.fade(m_all.answered > 0 ? tunables.least_current / m_all.answered : 0);
    both.answered += m_recent.answered;
    both.failed += m_recent.failed;
    for (std::size_t index = 0; index < both.durations.size(); ++index) {
        both.durations[index] += m_recent.durations[index];
    }
    return both;
}

double canary_baseline::failed_share(const judge_tunables& tunables) const {
    const weighed_counts both = compared_with(tunables);
    return smoothed(both.failed, both.answered, tunables.least_failed, tunables);
}

std::size_t canary_baseline::first_slow_class(const judge_tunables& tunables) const {
    const weighed_counts both = compared_with(tunables);
    double until_median = std::accumulate(both.durations.begin(), both.durations.end(), 0.0) / 2;
    std::size_t index = 0;
    while (index + 1 < both.durations.size() && both.durations[index] < until_median) {
        until_median -= both.durations[index++];
    }
    const double in_class = both.durations[index] > 0 ? until_median / both.durations[index] : 0;
    const double beyond = classes_per_octave * std::log2(tunables.slow_factor);
    const double first = std::round(static_cast<double>(index) + in_class + beyond);
    return std::min(static_cast<std::size_t>(first), duration_classes - 1);
}

double canary_baseline::slow_share(std::size_t first_slow, const judge_tunables& tunables) const {
    const auto durations = compared_with(tunables).durations;
    const auto slow = durations.begin() + static_cast<std::ptrdiff_t>(first_slow);
    return smoothed(std::accumulate(slow, durations.end(), 0.0),
                    std::accumulate(durations.begin(), durations.end(), 0.0), tunables.least_slow,
                    tunables);
}

}  // namespace ferryroad::core::canary
