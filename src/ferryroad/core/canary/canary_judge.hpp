/// @file
/// Canary analysis: decides by sequential tests of failures and slow answers, per route and over
/// all routes, whether the canary version performs as well as the current one.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ferryroad::core::canary {

enum class verdict : std::uint8_t { undecided, good, bad };
std::string_view to_string(verdict found);

/// Error rates and effect sizes of the tests of one trial. Sources: design note 0059.
struct judge_tunables {
    /// Probability that a good version is found bad in a trial, over all routes and both tests.
    double false_alarm = 0.001;
    /// Probability that a bad version is found good by one test on one route.
    double false_negative_rate = 0.01;
    /// The same at the deadline, for all routes together. It is higher because rejecting a good
    /// version has a cost, too.
    double false_negative_rate_at_deadline = 0.1;
    /// A version is bad if its share of failed answers exceeds that of the current version by this.
    double failed_share_increase = 0.12;
    /// The same for slow answers. If 0.15 to 0.2 of the answers, the smallest bad share, take three
    /// times as long, the slow share rises by only 0.08 to 0.1, since some were slow before and
    /// some stay below the limit.
    double slow_share_increase = 0.1;
    /// An answer is slow if it takes more than about this many times the current version's median.
    /// Rounding to the limits of a duration class makes the effective factor 2.1 to 3.
    double slow_factor = 2.5;
    /// Minimum number of answers of the current version on a route before the canary's answers
    /// there are judged. Until then these are kept.
    std::uint32_t min_baseline_answers = 20;
    /// Lower limits of the current version's shares of failed and slow answers, since a small
    /// sample without a failure does not show that there are none.
    double min_failed_share = 0.01;
    double min_slow_share = 0.02;
    /// Approximate number of the latest answers in the baseline of a route.
    double baseline_answers = 500;
    /// If new answers of the current version differ from the baseline by more than this many
    /// standard errors, conditions have changed for both versions, for example in a burst. The
    /// weight of the older answers is then reduced to `answers_kept_at_shift` answers.
    double shift_standard_errors = 3;
    double answers_kept_at_shift = 5;
    /// Number of points in a trial at which a version may turn bad, for the correction of
    /// `false_alarm`: one evaluation per 0.3 s over 12 s.
    double change_points = 40;
    /// A version is not found good if its evidence since the worst such point is at least this.
    double suspicion_bound = 4;
    /// At the deadline, a route speaks against the version if its evidence over the whole trial
    /// exceeds this. With a fifth of one route's answers slow at 700 requests per second, it lowers
    /// the bad versions accepted from 44 to 17 of 400, and the good ones from 96 to 93 of 100.
    double doubt_bound = 1;
};

/// Result of the analysis, with the figures of the decisive test.
struct judgement {
    verdict found = verdict::undecided;
    base::route_name route;     ///< The decisive route; empty for all routes together or none.
    bool by_duration = false;   ///< Whether slow answers decided, rather than failures.
    std::uint32_t answers = 0;  ///< Answers of the canary in the decisive test.
    std::uint32_t bad_answers = 0;
    double evidence = 0;  ///< Log-likelihood ratio of bad against good; the highest of all tests.
    double bound = 0;     ///< Evidence at which the version is found bad.

    friend bool operator==(const judgement&, const judgement&) = default;
};

/// Evaluates the totals of a trial. `canary_trial` detects more: totals don't show that a version
/// was good at first and turned bad later. Thread-safe.
/// @param counts cumulative counts since the trial began.
/// @return `good` only if every route with canary answers and all routes together are found good;
/// undecided as long as the canary has no answers on one of the current version's routes.
judgement judge(const counts_by_route& counts, const judge_tunables& tunables = {});

/// Decides a trial whose time has run out. Thread-safe.
/// @param counts cumulative counts since the trial began.
/// @return `good` if there is enough evidence for it over all routes together and no route speaks
/// against the version; otherwise `bad`.
verdict judge_at_deadline(const counts_by_route& counts, const judge_tunables& tunables = {});

/// @return the index in `outcome_counts::durations` of a duration's class. Thread-safe.
std::size_t duration_class_of(base::duration taken);

}  // namespace ferryroad::core::canary
