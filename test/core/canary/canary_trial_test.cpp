/// Canary analysis of given counts and of simulated ones.
#include "test/core/canary/simulated_pool.hpp"

#include <criterion/criterion.h>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::canary;
using namespace ferryroad::core::canary::test;
using namespace std::chrono_literals;

const base::route_name route("r");

/// Answers in duration class 8, from 2^(8/2) ms up, and `slow` ones that take eight times as long.
outcome_counts answers(std::uint32_t good, std::uint32_t failed = 0, std::uint32_t slow = 0) {
    outcome_counts counts;
    counts.answered = good + failed + slow;
    counts.failed = failed;
    counts.durations[8] = good;
    counts.durations[14] = slow;
    return counts;
}

/// Adds new answers of both groups and evaluates the trial.
judgement evaluate(canary_trial& trial, counts_by_route& counts, const outcome_counts& current,
                   const outcome_counts& canary) {
    const auto add = [](outcome_counts& to, const outcome_counts& more) {
        to.answered += more.answered;
        to.failed += more.failed;
        to.durations[8] += more.durations[8];
        to.durations[14] += more.durations[14];
    };
    add(counts[route].current, current);
    add(counts[route].canary, canary);
    return trial.look(counts);
}

}  // namespace

Test(canary_judge, without_answers_nothing_is_decided_until_time_is_up) {
    cr_assert(judge({}).found == verdict::undecided);
    cr_assert(judge_at_deadline({}) == verdict::bad);
    cr_assert(judge({{route, {answers(1000), {}}}}).found == verdict::undecided);
    cr_assert(judge_at_deadline({{route, {answers(1000), {}}}}) == verdict::bad);
}

Test(canary_judge, many_answers_alike_are_good) {
    const counts_by_route counts{{route, {answers(3000, 10, 100), answers(300, 1, 10)}}};
    cr_assert(judge(counts).found == verdict::good);
    cr_assert(judge_at_deadline(counts) == verdict::good);
}

Test(canary_judge, a_few_failures_are_bad_and_a_single_one_is_not) {
    cr_assert(judge({{route, {answers(500), answers(0, 1)}}}).found == verdict::undecided);
    cr_assert(judge({{route, {answers(20), answers(0, 2)}}}).found == verdict::undecided);
    const auto found = judge({{route, {answers(500), answers(10, 6)}}});
    cr_assert(found.found == verdict::bad);
    cr_assert_not(found.by_duration);
    cr_assert_eq(found.bad_answers, 6);
    cr_assert_eq(found.answers, 16);
    cr_assert_geq(found.evidence, found.bound);
}

Test(canary_judge, failures_that_the_current_version_has_too_are_no_evidence) {
    cr_assert(judge({{route, {answers(400, 100), answers(80, 20)}}}).found != verdict::bad);
}

Test(canary_judge, slow_answers_are_bad) {
    const auto found = judge({{route, {answers(500, 0, 20), answers(10, 0, 15)}}});
    cr_assert(found.found == verdict::bad);
    cr_assert(found.by_duration);
    cr_assert_eq(found.bad_answers, 15);
}

Test(canary_judge, one_route_with_few_answers_keeps_it_undecided) {
    counts_by_route counts{{route, {answers(3000), answers(300)}}};
    cr_assert(judge(counts).found == verdict::good);
    counts[base::route_name("other")] = {answers(40), answers(3)};
    cr_assert(judge(counts).found == verdict::undecided);
    cr_assert(judge_at_deadline(counts) == verdict::good);
}

Test(canary_judge, a_route_that_never_answers_is_not_good_at_the_deadline) {
    counts_by_route counts{{route, {answers(3000), answers(300)}}};
    counts[base::route_name("other")] = {answers(1000), {}};
    cr_assert(judge_at_deadline(counts) == verdict::bad);
}

Test(canary_judge, a_route_that_points_to_bad_is_not_good_at_the_deadline) {
    counts_by_route counts{{route, {answers(3000), answers(300)}}};
    counts[base::route_name("other")] = {answers(1000), answers(20, 1)};
    cr_assert(judge_at_deadline(counts) == verdict::good);
    counts[base::route_name("other")] = {answers(1000), answers(20, 2)};
    cr_assert(judge(counts).found == verdict::undecided);
    cr_assert(judge_at_deadline(counts) == verdict::bad);
}

Test(canary_judge, a_fault_of_one_route_names_it) {
    counts_by_route counts{{route, {answers(3000), answers(300)}}};
    counts[base::route_name("other")] = {answers(1000), answers(20, 7)};
    const auto found = judge(counts);
    cr_assert(found.found == verdict::bad);
    cr_assert_eq(found.route, base::route_name("other"));
}

Test(canary_judge, durations_have_half_octaves) {
    cr_assert_eq(duration_class_of(0ms), 0);
    cr_assert_eq(duration_class_of(1ms), 0);
    cr_assert_eq(duration_class_of(1500us), 1);
    cr_assert_eq(duration_class_of(2ms), 2);
    cr_assert_eq(duration_class_of(1024ms), 20);
    cr_assert_eq(duration_class_of(24h), duration_classes - 1);
}

Test(canary_trial, a_good_beginning_hides_nothing) {
    canary_trial trial;
    counts_by_route counts;
    cr_assert(evaluate(trial, counts, answers(9000), answers(800)).found == verdict::good);
    const auto found = evaluate(trial, counts, answers(200), answers(9, 7));
    cr_assert(found.found == verdict::bad);
    cr_assert(judge(counts).found == verdict::good, "the counts as a whole don't show the change");
    cr_assert(trial.at_deadline() == verdict::bad);
}

Test(canary_trial, good_is_taken_back_and_bad_is_not) {
    canary_trial trial;
    counts_by_route counts;
    evaluate(trial, counts, answers(9000), answers(800));
    const auto doubtful = evaluate(trial, counts, answers(200), answers(5, 3));
    cr_assert(doubtful.found == verdict::undecided);
    cr_assert(trial.at_deadline() == verdict::bad);
    evaluate(trial, counts, answers(200), answers(0, 10));
    cr_assert(evaluate(trial, counts, answers(9000), answers(900)).found == verdict::bad);
    cr_assert(trial.last().found == verdict::bad);
}

Test(canary_trial, answers_wait_for_something_to_compare_with) {
    canary_trial trial;
    counts_by_route counts;
    cr_assert(evaluate(trial, counts, answers(5), answers(0, 20)).found == verdict::undecided);
    cr_assert(evaluate(trial, counts, answers(200), {}).found == verdict::bad);
}

Test(canary_trial, a_burst_that_makes_both_slow_is_no_evidence) {
    canary_trial trial;
    counts_by_route counts;
    evaluate(trial, counts, answers(2000), answers(150));
    for (int look = 0; look < 5; ++look) {
        cr_assert(evaluate(trial, counts, answers(80, 0, 120), answers(6, 0, 9)).found !=
                  verdict::bad);
    }
}

Test(canary_trial, counts_that_fall_and_come_back_count_once) {
    canary_trial trial;
    const counts_by_route counts{{route, {answers(500), answers(20, 3)}}};
    const auto before = trial.look(counts);
    for (int look = 0; look < 5; ++look) {
        trial.look({{route, {answers(100), answers(5)}}});
        cr_assert(trial.look(counts) == before);
    }
}

Test(canary_trial, one_that_takes_over_midway_finds_the_same) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        simulated_pool pool(700, {"", 0.5, 0, 3, 0, false, 1}, seed);
        canary_trial first;
        for (int look = 0; look < 6; ++look) {
            pool.step(true);
            first.look(pool.counts());
        }
        canary_trial next_one;
        cr_assert(first.last().found == verdict::bad);
        cr_assert(next_one.look(pool.counts()).found == verdict::bad);
    }
}
