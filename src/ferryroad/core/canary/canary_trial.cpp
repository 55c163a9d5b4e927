#include "ferryroad/core/canary/canary_trial.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ferryroad::core::canary {

namespace {

/// `false_alarm` is parted between the evidence of the whole trial and that since a turn.
constexpr double ways_to_be_bad = 2;
constexpr double tests_per_route = 2;

/// A route lacks answers where it has less than a quarter of at least so many that its part of
/// the current version's traffic lets expect: by chance (Poisson) once in 300 trials.
constexpr double least_expected = 8;
constexpr double lacking_part = 0.25;

std::uint32_t risen(std::uint32_t now, std::uint32_t before) {
    return now > before ? now - before : 0;
}

outcome_counts risen(const outcome_counts& now, const outcome_counts& before) {
    outcome_counts more;
    more.answered = risen(now.answered, before.answered);
    more.failed = std::min(risen(now.failed, before.failed), more.answered);
    for (std::size_t index = 0; index < duration_classes; ++index) {
        more.durations[index] = risen(now.durations[index], before.durations[index]);
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

outcome_counts greater(const outcome_counts& one, const outcome_counts& other) {
    outcome_counts most = one;
    add(most, risen(other, one));
    most.failed = std::max(one.failed, other.failed);
    return most;
}

/// @return log likelihood ratio of a share of `good + beyond` against `good`.
double log_ratio(std::uint32_t bad_answers, std::uint32_t answers, double good, double beyond) {
    const double bad = std::min(good + beyond, (1 + good) / 2);
    const double others = answers - bad_answers;
    return bad_answers * std::log(bad / good) + others * std::log((1 - bad) / (1 - good));
}

}  // namespace

void sequential_evidence::add(double log_ratio) {
    m_whole += log_ratio;
    m_since_turn = std::max(0.0, m_since_turn + log_ratio);
}

void canary_trial::both_findings::add(const both_findings& more) {
    answers += more.answers;
    failures.bad_answers += more.failures.bad_answers;
    failures.log_ratio += more.failures.log_ratio;
    slowness.bad_answers += more.slowness.bad_answers;
    slowness.log_ratio += more.slowness.log_ratio;
}

void canary_trial::test::add(const finding& more) {
    bad_answers += more.bad_answers;
    evidence.add(more.log_ratio);
}

void canary_trial::both_tests::add(const both_findings& more) {
    answers += more.answers;
    failures.add(more.failures);
    slowness.add(more.slowness);
}

judgement canary_trial::look(const counts_by_route& cumulative) {
    both_findings together;
    for (const auto& [name, counts] : cumulative) {
        together.add(take(m_routes[name], counts));
    }
    m_all.add(together);
    if (m_last.found != verdict::bad) {
        m_last = found();
    }
    return m_last;
}

canary_trial::both_findings canary_trial::take(route_state& route,
                                               const compared_counts& cumulative) {
    route.baseline.add(risen(cumulative.current, route.seen.current), m_tunables);
    add(route.unjudged, risen(cumulative.canary, route.seen.canary));
    route.seen = {greater(cumulative.current, route.seen.current),
                  greater(cumulative.canary, route.seen.canary)};
    if (route.baseline.answered() < m_tunables.least_current) {
        return {};
    }
    const both_findings more = weigh(route);
    route.tests.add(more);
    route.unjudged = {};
    return more;
}

canary_trial::both_findings canary_trial::weigh(const route_state& route) const {
    const outcome_counts& more = route.unjudged;
    const std::size_t first_slow = route.baseline.first_slow_class(m_tunables);
    const auto slow_ones = more.durations.begin() + static_cast<std::ptrdiff_t>(first_slow);
    const std::uint32_t timed = std::accumulate(more.durations.begin(), more.durations.end(), 0U);
    both_findings said;
    said.answers = more.answered;
    said.failures.bad_answers = more.failed;
    said.failures.log_ratio =
        log_ratio(more.failed, more.answered, route.baseline.failed_share(m_tunables),
                  m_tunables.failed_beyond);
    said.slowness.bad_answers = std::accumulate(slow_ones, more.durations.end(), 0U);
    said.slowness.log_ratio =
        log_ratio(said.slowness.bad_answers, timed,
                  route.baseline.slow_share(first_slow, m_tunables), m_tunables.slow_beyond);
    return said;
}

judgement canary_trial::found() const {
    judgement nearest;
    nearest.bound = bound_of_whole();
    compare({}, m_all, nearest);
    bool all_good = is_good(m_all, m_tunables.missed);
    for (const auto& [name, route] : m_routes) {
        compare(name, route.tests, nearest);
        all_good = all_good && is_good(route.tests, m_tunables.missed);
    }
    if (nearest.found != verdict::bad && all_good) {
        nearest.found = verdict::good;
    }
    return nearest;
}

void canary_trial::compare(const base::route_name& name, const both_tests& tests,
                           judgement& so_far) const {
    for (const test* one : {&tests.failures, &tests.slowness}) {
        const double whole = one->evidence.whole() / bound_of_whole();
        const double since_turn = one->evidence.since_turn() / bound_since_turn();
        if (std::max(whole, since_turn) <= so_far.evidence / so_far.bound) {
            continue;
        }
        so_far.route = name;
        so_far.by_duration = one == &tests.slowness;
        so_far.answers = tests.answers;
        so_far.bad_answers = one->bad_answers;
        so_far.bound = whole >= since_turn ? bound_of_whole() : bound_since_turn();
        so_far.evidence = std::max(whole, since_turn) * so_far.bound;
        so_far.found = whole >= 1 || since_turn >= 1 ? verdict::bad : verdict::undecided;
    }
}

verdict canary_trial::at_deadline() const {
    if (m_last.found == verdict::bad || !is_good(m_all, m_tunables.missed_at_deadline)) {
        return verdict::bad;
    }
    double current = 0;
    for (const auto& [name, route] : m_routes) {
        current += route.baseline.answered();
    }
    const bool doubtful = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto& entry) {
        const route_state& route = entry.second;
        return is_suspect(route.tests) || is_doubtful(route.tests) ||
               lacks_answers(route.tests, route.baseline.answered() / current);
    });
    return doubtful ? verdict::bad : verdict::good;
}

bool canary_trial::is_good(const both_tests& tests, double missed) const {
    return tests.failures.evidence.whole() <= std::log(missed) &&
           tests.slowness.evidence.whole() <= std::log(missed) && !is_suspect(tests);
}

bool canary_trial::is_suspect(const both_tests& tests) const {
    return tests.failures.evidence.since_turn() >= m_tunables.suspicion ||
           tests.slowness.evidence.since_turn() >= m_tunables.suspicion;
}

bool canary_trial::is_doubtful(const both_tests& tests) const {
    return tests.failures.evidence.whole() > m_tunables.doubt ||
           tests.slowness.evidence.whole() > m_tunables.doubt;
}

bool canary_trial::lacks_answers(const both_tests& tests, double part_of_current) const {
    const double expected = m_all.answers * part_of_current;
    return expected >= least_expected && tests.answers < lacking_part * expected;
}

double canary_trial::bound_of_whole() const {
    const double tests = tests_per_route * static_cast<double>(m_routes.size() + 1);
    return std::log(ways_to_be_bad * tests / m_tunables.false_alarm);
}

double canary_trial::bound_since_turn() const {
    return bound_of_whole() + std::log(m_tunables.turns);
}

}  // namespace ferryroad::core::canary
