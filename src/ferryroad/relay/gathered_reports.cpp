#include "ferryroad/relay/gathered_reports.hpp"

#include <cstddef>

namespace ferryroad::relay {

namespace {

using core::canary::compared_counts;
using core::canary::outcome_counts;

/// Adds the increase from `before` to `latest` to `sum`, then sets `before` to `latest`. Does
/// nothing where `latest` counts no more answers than `before`.
void add_increase(outcome_counts& sum, outcome_counts& before, const outcome_counts& latest) {
    if (latest.answered <= before.answered) {
        return;
    }
    sum.answered += latest.answered - before.answered;
    sum.failed += latest.failed - before.failed;
    for (std::size_t index = 0; index < sum.durations.size(); ++index) {
        sum.durations[index] += latest.durations[index] - before.durations[index];
    }
    before = latest;
}

}  // namespace

void gathered_reports::add(const peer::release_report& report) {
    auto& reported = m_last_reported[{report.sender, report.sender_incarnation}];
    for (const auto& [route, counted] : report.counts) {
        compared_counts& before = reported[route];
        compared_counts& sum = m_sum[route];
        add_increase(sum.current, before.current, counted.current);
        add_increase(sum.canary, before.canary, counted.canary);
    }
}

}  // namespace ferryroad::relay
