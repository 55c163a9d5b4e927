/// @file
/// Whether a version on trial answers as the one in force does: a sequential test of failures and
/// of slow answers, for each route and over all.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ferryroad::core::canary {

enum class verdict : std::uint8_t { undecided, good, bad };
std::string_view to_string(verdict found);

/// Error rates and effects, for one trial. Sources: design note 0059.
struct judge_tunables {
    /// Chance that a good version is found bad in a trial, over all routes and both tests.
    double false_alarm = 0.001;
    /// Chance that a bad version is found good on one test of one route.
    double missed = 0.01;
    /// The same where no time is left, of all routes together: a good version that isn't put in
    /// force costs too.
    double missed_at_deadline = 0.1;
    /// A version is bad where this share of its answers fails beyond the current version's.
    double failed_beyond = 0.12;
    /// The same of slow answers: the least bad share of 0.15 to 0.2 of answers that take three
    /// times as long adds 0.08 to 0.1, as some were slow before and some still aren't.
    double slow_beyond = 0.1;
    /// An answer is slow where it takes more than about this many times the current version's
    /// median (to the nearest bound of a duration class: 2.1 to 3).
    double slow_factor = 2.5;
    /// Answers of the current version on a route before the canary's there are judged; they are
    /// kept until then.
    std::uint32_t least_current = 20;
    /// Shares of failed and of slow answers that the current version has at least, whatever was
    /// counted: a few answers without a failure don't say that there are none.
    double least_failed = 0.01;
    double least_slow = 0.02;
    /// About so many of the latest answers of the current version on a route are what the
    /// canary's are compared with.
    double compared_answers = 500;
    /// Where the current version's new answers are further from those than so many standard
    /// errors, times have changed for both versions (a burst): the earlier ones are forgotten but
    /// for a few.
    double shifted_errors = 3;
    double kept_at_shift = 5;
    /// Moments of a trial from which on a version may turn bad, that `false_alarm` reckons with:
    /// looks each 0.3 s over 12 s.
    double turns = 40;
    /// Evidence since the worst such moment from which on a version isn't found good.
    double suspicion = 4;
    /// Evidence of the whole trial from which on a route points to "bad" when no time is left.
    /// With it 17 instead of 44 of 400 versions with a fifth of one route's answers slow were put
    /// in force at 700 requests a second, and 93 instead of 96 of 100 good ones.
    double doubt = 1;
};

/// What was found, with the figures that it rests on.
struct judgement {
    verdict found = verdict::undecided;
    base::route_name route;     ///< That decided; empty: all together, or nothing did.
    bool by_duration = false;   ///< Slow answers decided, not failures.
    std::uint32_t answers = 0;  ///< Of the canary, there.
    std::uint32_t bad_answers = 0;
    double evidence = 0;  ///< Log likelihood ratio of bad against good, the greatest of all tests.
    double bound = 0;     ///< From which on it is bad.

    friend bool operator==(const judgement&, const judgement&) = default;
};

/// One look at a whole trial, without its course: `canary_trial` finds more, as here a good
/// beginning hides what turned bad later. Pure and thread-safe. The counts are cumulative since
/// the trial began.
/// `good` only where every route with canary answers and all together are found good; a route of
/// the current version that the canary got nothing of yet leaves it undecided.
judgement judge(const counts_by_route& counts, const judge_tunables& tunables = {});

/// What to decide when no time is left for an undecided trial: good only where there is enough
/// evidence against "bad" over all routes together and no route's points to bad.
verdict judge_at_deadline(const counts_by_route& counts, const judge_tunables& tunables = {});

/// @return the class of `outcome_counts::durations` that a duration belongs to. Thread-safe.
std::size_t duration_class_of(base::duration taken);

}  // namespace ferryroad::core::canary
