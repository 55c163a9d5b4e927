/// @file
/// Online analysis of one canary trial: sequential probability ratio tests (Wald 1945), combined
/// with cumulative sums that restart at each evaluation (Page 1954), so that a good start does not
/// hide a later change for the worse.
#pragma once

#include "ferryroad/core/canary/canary_baseline.hpp"
#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <map>

namespace ferryroad::core::canary {

/// Log-likelihood ratio of "bad" against "good". Value type.
class sequential_evidence {
  public:
    void add(double log_ratio);
    /// @return the ratio since the trial began; it falls while a version is good.
    double total() const { return m_total; }
    /// @return the highest ratio since any earlier point (CUSUM statistic); 0 or more.
    double since_change() const { return m_since_change; }

  private:
    double m_total = 0;
    double m_since_change = 0;
};

/// Trial of one pool under one release order. It may start in the middle of a trial: the first
/// counts are then evaluated as one step, and a change for the worse within them is not detected
/// separately. Not thread-safe.
class canary_trial {
  public:
    explicit canary_trial(judge_tunables tunables = {}) : m_tunables(tunables) {}

    /// Evaluates new counts.
    /// @param cumulative counts of all routers since the trial began. The sum must retain the last
    /// counts of a router that has left or restarted. A count that falls adds nothing until it
    /// exceeds its previous maximum.
    /// @return the judgement so far. `bad` is final; `good` may be revoked. `good` only if every
    /// route with answers and all routes together are found good.
    judgement look(const counts_by_route& cumulative);

    /// Decides a trial whose time has run out.
    /// @return `good` if there is enough evidence for it over all routes together, no route speaks
    /// against the version, and no route lacks the canary answers expected by now; otherwise
    /// `bad`. Never undecided.
    verdict at_deadline() const;

    /// @return the result of the last evaluation.
    const judgement& last() const { return m_last; }

  private:
    /// Contribution of new answers to one of the two tests.
    struct test_increment {
        std::uint32_t bad_answers = 0;
        double log_ratio = 0;
    };
    struct test_increments {
        std::uint32_t answers = 0;  ///< Evaluated answers of the canary.
        test_increment failures;
        test_increment slowness;

        void add(const test_increments& more);
    };
    /// State of one of the two tests, for one route or for all routes together.
    struct test_state {
        std::uint32_t bad_answers = 0;
        sequential_evidence evidence;

        void add(const test_increment& more);
    };
    struct test_states {
        std::uint32_t answers = 0;  ///< Evaluated answers of the canary.
        test_state failures;
        test_state slowness;

        void add(const test_increments& more);
    };
    struct route_state {
        compared_counts seen;     ///< Maximum of the cumulative counts so far.
        outcome_counts unjudged;  ///< Canary answers that wait for a sufficient baseline.
        canary_baseline baseline;
        test_states tests;
    };

    /// Adds the route's new answers to its state.
    /// @return their contribution to the tests.
    test_increments add_counts(route_state& route, const compared_counts& cumulative);
    test_increments evaluate_unjudged(const route_state& route) const;
    judgement current_judgement() const;
    /// Replaces the figures in `so_far` by those of a test that is closer to its bound.
    void keep_strongest(const base::route_name& name, const test_states& tests,
                        judgement& so_far) const;
    bool is_good(const test_states& tests, double false_negative_rate) const;
    bool is_suspect(const test_states& tests) const;
    bool is_doubtful(const test_states& tests) const;
    bool lacks_answers(const test_states& tests, double part_of_current) const;

    /// Evidence at which a version is bad, since the trial began and since a change.
    double total_bound() const;
    double since_change_bound() const;

    judge_tunables m_tunables;
    std::map<base::route_name, route_state> m_routes;
    test_states m_all;
    judgement m_last;
};

}  // namespace ferryroad::core::canary
