#include "ferryroad/relay/gathered_reports.hpp"

#include <cstddef>

namespace ferryroad::relay {

namespace {

using core::canary::compared_counts;
using core::canary::outcome_counts;

/// Adds to `sum` by how much `now` is more than `before`, which it takes the place of.
void replace(outcome_counts& sum, outcome_counts& before, const outcome_counts& now) {
    if (now.answered <= before.answered) {
        return;
    }
    sum.answered += now.answered - before.answered;
    sum.failed += now.failed - before.failed;
    for (std::size_t index = 0; index < sum.durations.size(); ++index) {
        sum.durations[index] += now.durations[index] - before.durations[index];
    }
    before = now;
}

}  // namespace

void gathered_reports::take(const peer::release_report& report) {
    auto& told = m_told[{report.sender, report.sender_incarnation}];
    for (const auto& [route, counted] : report.counts) {
        compared_counts& before = told[route];
        compared_counts& sum = m_sum[route];
        replace(sum.current, before.current, counted.current);
        replace(sum.canary, before.canary, counted.canary);
    }
}

}  // namespace ferryroad::relay
