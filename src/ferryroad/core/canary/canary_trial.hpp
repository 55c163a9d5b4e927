/// @file
/// Follows the counts of one trial and says what is found so far: sequential probability ratio
/// tests (Wald 1945) that also begin afresh at each look (Page 1954), so that a good beginning
/// doesn't hide what turns bad later.
#pragma once

#include "ferryroad/core/canary/canary_baseline.hpp"
#include "ferryroad/core/canary/canary_judge.hpp"
#include "ferryroad/core/canary/types.hpp"

#include <map>

namespace ferryroad::core::canary {

/// Log likelihood ratio of "bad" against "good". Value type.
class sequential_evidence {
  public:
    void add(double log_ratio);
    /// @return since the trial began; falls while a version is good.
    double whole() const { return m_whole; }
    /// @return since the moment that speaks most against the version; 0 or more.
    double since_turn() const { return m_since_turn; }

  private:
    double m_whole = 0;
    double m_since_turn = 0;
};

/// Of one pool under one order. May begin midway: the first counts are taken as one step, with
/// what a turn for the worse within them would have shown lost. Not thread-safe.
class canary_trial {
  public:
    explicit canary_trial(judge_tunables tunables = {}) : m_tunables(tunables) {}

    /// @param cumulative since the trial began, of all routers: where a router is gone or has
    /// begun anew, its last counts are to be kept in the sum. A count that falls adds nothing
    /// until it is higher than ever.
    /// @return what is found by now; `bad` stays, `good` may be taken back.
    /// `good` only where every route with answers and all together are found good.
    judgement look(const counts_by_route& cumulative);

    /// What to decide when no time is left: `good` or `bad`, never undecided.
    /// `good` only where there is enough evidence against "bad" over all routes together, no
    /// route's points to bad, and none lacks the canary's answers that it should have by now.
    verdict at_deadline() const;

    /// @return what the last look found.
    const judgement& last() const { return m_last; }

  private:
    /// What new answers say in one of the two tests.
    struct finding {
        std::uint32_t bad_answers = 0;
        double log_ratio = 0;
    };
    struct both_findings {
        std::uint32_t answers = 0;  ///< Of the canary, judged.
        finding failures;
        finding slowness;

        void add(const both_findings& more);
    };
    /// One of the two tests, on one route or over all.
    struct test {
        std::uint32_t bad_answers = 0;
        sequential_evidence evidence;

        void add(const finding& more);
    };
    struct both_tests {
        std::uint32_t answers = 0;  ///< Of the canary, judged.
        test failures;
        test slowness;

        void add(const both_findings& more);
    };
    struct route_state {
        compared_counts seen;
        outcome_counts unjudged;  ///< Of the canary, until there is something to compare with.
        canary_baseline baseline;
        both_tests tests;
    };

    /// @return what the route's new answers say.
    both_findings take(route_state& route, const compared_counts& cumulative);
    both_findings weigh(const route_state& route) const;
    judgement found() const;
    /// Puts what the tests say into `so_far` where they are nearer to their bound.
    void compare(const base::route_name& name, const both_tests& tests, judgement& so_far) const;
    bool is_good(const both_tests& tests, double missed) const;
    bool is_suspect(const both_tests& tests) const;
    bool is_doubtful(const both_tests& tests) const;
    bool lacks_answers(const both_tests& tests, double part_of_current) const;

    /// Evidence from which on a version is bad, at once or since a turn.
    double bound_of_whole() const;
    double bound_since_turn() const;

    judge_tunables m_tunables;
    std::map<base::route_name, route_state> m_routes;
    both_tests m_all;
    judgement m_last;
};

}  // namespace ferryroad::core::canary
