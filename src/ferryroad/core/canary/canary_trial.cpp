#include "ferryroad/core/canary/canary_trial.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::core::canary {

namespace {

/// `false_alarm` is split between the evidence since the trial began and that since a change.
constexpr double evidence_kinds = 2;
constexpr double tests_per_route = 2;

/// A route lacks canary answers if its share of the current version's traffic predicts at least
/// `min_expected_answers` and less than `min_received_share` of the prediction arrived. With a
/// Poisson distribution this happens by chance once in 300 trials.
constexpr double min_expected_answers = 8;
constexpr double min_received_share = 0.25;

std::uint32_t increase_since(std::uint32_t now, std::uint32_t before) {
    return now > before ? now - before : 0;
}

outcome_counts increase_since(const outcome_counts& now, const outcome_counts& before) {
    outcome_counts more;
    more.answered = increase_since(now.answered, before.answered);
    more.failed = std::min(increase_since(now.failed, before.failed), more.answered);
    for (std::size_t index = 0; index < duration_classes; ++index) {
        more.durations[index] = increase_since(now.durations[index], before.durations[index]);
    }
    return more;
}

void add(outcome_counts& to, const outcome_counts& more) {
    to.answered += more.answered;
    to.failed += more.failed;
    for (std::size_t index = 0; index < duration_classes; ++index) {
        to.durations[index] += more.durations[index];
    }
}

outcome_counts elementwise_max(const outcome_counts& one, const outcome_counts& other) {
    outcome_counts most = one;
    add(most, increase_since(other, one));
    most.failed = std::max(one.failed, other.failed);
    return most;
}

/// @return the log-likelihood ratio of a bad share of `good + increase` against one of `good`.
double log_ratio(std::uint32_t bad_answers, std::uint32_t answers, double good, double increase) {
    const double bad = std::min(good + increase, (1 + good) / 2);
    const double others = answers - bad_answers;
    return bad_answers * std::log(bad / good) + others * std::log((1 - bad) / (1 - good));
}

}  // namespace

void sequential_evidence::add(double log_ratio) {
    m_total += log_ratio;
    m_since_change = std::max(0.0, m_since_change + log_ratio);
}

void canary_trial::test_increments::add(const test_increments& more) {
    answers += more.answers;
    failures.bad_answers += more.failures.bad_answers;
    failures.log_ratio += more.failures.log_ratio;
    slowness.bad_answers += more.slowness.bad_answers;
    slowness.log_ratio += more.slowness.log_ratio;
}

void canary_trial::test_state::add(const test_increment& more) {
    bad_answers += more.bad_answers;
    evidence.add(more.log_ratio);
}

void canary_trial::test_states::add(const test_increments& more) {
    answers += more.answers;
    failures.add(more.failures);
    slowness.add(more.slowness);
}

judgement canary_trial::look(const counts_by_route& cumulative) {
    test_increments together;
    for (const auto& [name, counts] : cumulative) {
        together.add(add_counts(m_routes[name], counts));
    }
    m_all.add(together);
    if (m_last.found != verdict::bad) {
        m_last = current_judgement();
    }
    return m_last;
}

canary_trial::test_increments canary_trial::add_counts(route_state& route,
                                                       const compared_counts& cumulative) {
    route.baseline.add(increase_since(cumulative.current, route.seen.current), m_tunables);
    add(route.unjudged, increase_since(cumulative.canary, route.seen.canary));
    route.seen = {elementwise_max(cumulative.current, route.seen.current),
                  elementwise_max(cumulative.canary, route.seen.canary)};
    if (route.baseline.answered() < m_tunables.min_baseline_answers) {
        return {};
    }
    const test_increments more = evaluate_unjudged(route);
    route.tests.add(more);
    route.unjudged = {};
    return more;
}

canary_trial::test_increments canary_trial::evaluate_unjudged(const route_state& route) const {
    const outcome_counts& more = route.unjudged;
    const std::size_t first_slow = route.baseline.first_slow_class(m_tunables);
    const auto slow_ones = more.durations.begin() + static_cast<std::ptrdiff_t>(first_slow);
    const std::uint32_t timed = std::accumulate(more.durations.begin(), more.durations.end(), 0U);
    test_increments result;
    result.answers = more.answered;
    result.failures.bad_answers = more.failed;
    result.failures.log_ratio =
        log_ratio(more.failed, more.answered, route.baseline.failed_share(m_tunables),
                  m_tunables.failed_share_increase);
    result.slowness.bad_answers = std::accumulate(slow_ones, more.durations.end(), 0U);
    result.slowness.log_ratio = log_ratio(result.slowness.bad_answers, timed,
                                          route.baseline.slow_share(first_slow, m_tunables),
                                          m_tunables.slow_share_increase);
    return result;
}

judgement canary_trial::current_judgement() const {
    judgement strongest;
    strongest.bound = total_bound();
    keep_strongest({}, m_all, strongest);
    bool all_good = is_good(m_all, m_tunables.false_negative_rate);
    for (const auto& [name, route] : m_routes) {
        keep_strongest(name, route.tests, strongest);
        all_good = all_good && is_good(route.tests, m_tunables.false_negative_rate);
    }
    if (strongest.found != verdict::bad && all_good) {
        strongest.found = verdict::good;
    }
    return strongest;
}

void canary_trial::keep_strongest(const base::route_name& name, const test_states& tests,
                                  judgement& so_far) const {
    for (const test_state* one : {&tests.failures, &tests.slowness}) {
        const double total = one->evidence.total() / total_bound();
        const double since_change = one->evidence.since_change() / since_change_bound();
        if (std::max(total, since_change) <= so_far.evidence / so_far.bound) {
            continue;
        }
        so_far.route = name;
        so_far.by_duration = one == &tests.slowness;
        so_far.answers = tests.answers;
        so_far.bad_answers = one->bad_answers;
        so_far.bound = total >= since_change ? total_bound() : since_change_bound();
        so_far.evidence = std::max(total, since_change) * so_far.bound;
        so_far.found = total >= 1 || since_change >= 1 ? verdict::bad : verdict::undecided;
    }
}

verdict canary_trial::at_deadline() const {
    if (m_last.found == verdict::bad ||
        !is_good(m_all, m_tunables.false_negative_rate_at_deadline)) {
        return verdict::bad;
    }
    double current = 0;
    for (const auto& [name, route] : m_routes) {
        current += route.baseline.answered();
    }
    const bool rejected = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto& entry) {
        const route_state& route = entry.second;
        return is_suspect(route.tests) || is_doubtful(route.tests) ||
               lacks_answers(route.tests, route.baseline.answered() / current);
    });
    return rejected ? verdict::bad : verdict::good;
}

bool canary_trial::is_good(const test_states& tests, double false_negative_rate) const {
    return tests.failures.evidence.total() <= std::log(false_negative_rate) &&
           tests.slowness.evidence.total() <= std::log(false_negative_rate) && !is_suspect(tests);
}

bool canary_trial::is_suspect(const test_states& tests) const {
    return tests.failures.evidence.since_change() >= m_tunables.suspicion_bound ||
           tests.slowness.evidence.since_change() >= m_tunables.suspicion_bound;
}

bool canary_trial::is_doubtful(const test_states& tests) const {
    return tests.failures.evidence.total() > m_tunables.doubt_bound ||
           tests.slowness.evidence.total() > m_tunables.doubt_bound;
}

bool canary_trial::lacks_answers(const test_states& tests, double part_of_current) const {
    const double expected = m_all.answers * part_of_current;
    return expected >= min_expected_answers && tests.answers < min_received_share * expected;
}

double canary_trial::total_bound() const {
    const double tests = tests_per_route * static_cast<double>(m_routes.size() + 1);
    return std::log(evidence_kinds * tests / m_tunables.false_alarm);
}

double canary_trial::since_change_bound() const {
    return total_bound() + std::log(m_tunables.change_points);
}

}  // namespace ferryroad::core::canary
