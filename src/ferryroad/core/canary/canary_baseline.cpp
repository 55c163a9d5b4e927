#include "ferryroad/core/canary/canary_baseline.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::core::canary {

namespace {

/// Duration classes are half octaves.
constexpr double classes_per_octave = 2;

template <typename Durations>
double sum_from(const Durations& durations, std::size_t first) {
    return std::accumulate(durations.begin() + static_cast<std::ptrdiff_t>(first), durations.end(),
                           0.0);
}

/// @return the estimated share by Laplace's rule of succession, which is above 0 even for a small
/// sample without a single bad answer.
double estimated_share(double count, double total) {
    return (count + 1) / (total + 2);
}

/// @return whether `count` of `total` differs from `share` by more than `errors` standard errors.
bool differs(double count, double total, double share, double errors) {
    return std::abs(count - total * share) > errors * std::sqrt(total * share * (1 - share));
}

}  // namespace

void canary_baseline::add(const outcome_counts& more, const judge_tunables& tunables) {
    if (is_shifted(more, tunables)) {
        decay(std::min(1.0, tunables.answers_kept_at_shift / m_decayed_answered));
    }
    decay(std::exp(-static_cast<double>(more.answered) / tunables.baseline_answers));
    m_answered += more.answered;
    m_decayed_answered += more.answered;
    m_failed += more.failed;
    for (std::size_t index = 0; index < m_durations.size(); ++index) {
        m_durations[index] += more.durations[index];
    }
}

double canary_baseline::failed_share(const judge_tunables& tunables) const {
    return std::max(tunables.min_failed_share, estimated_share(m_failed, m_decayed_answered));
}

std::size_t canary_baseline::first_slow_class(const judge_tunables& tunables) const {
    double until_median = sum_from(m_durations, 0) / 2;
    std::size_t index = 0;
    while (index + 1 < m_durations.size() && m_durations[index] < until_median) {
        until_median -= m_durations[index++];
    }
    const double in_class = m_durations[index] > 0 ? until_median / m_durations[index] : 0;
    const double beyond = classes_per_octave * std::log2(tunables.slow_factor);
    const double first = std::round(static_cast<double>(index) + in_class + beyond);
    return std::min(static_cast<std::size_t>(first), duration_classes - 1);
}

double canary_baseline::slow_share(std::size_t first_slow, const judge_tunables& tunables) const {
    const double share =
        estimated_share(sum_from(m_durations, first_slow), sum_from(m_durations, 0));
    return std::max(tunables.min_slow_share, share);
}

void canary_baseline::decay(double factor) {
    m_decayed_answered *= factor;
    m_failed *= factor;
    for (double& count : m_durations) {
        count *= factor;
    }
}

bool canary_baseline::is_shifted(const outcome_counts& more, const judge_tunables& tunables) const {
    if (m_decayed_answered <= tunables.answers_kept_at_shift) {
        return false;
    }
    const std::size_t first_slow = first_slow_class(tunables);
    return differs(more.failed, more.answered, failed_share(tunables),
                   tunables.shift_standard_errors) ||
           differs(sum_from(more.durations, first_slow), sum_from(more.durations, 0),
                   slow_share(first_slow, tunables), tunables.shift_standard_errors);
}

}  // namespace ferryroad::core::canary
