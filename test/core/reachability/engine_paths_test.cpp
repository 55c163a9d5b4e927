/// A router tells the loss of its own path to all engines from the failure of single engines.
#include "ferryroad/core/reachability/engine_paths.hpp"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::reachability;
using namespace std::chrono_literals;

constexpr base::monotonic_time start{std::chrono::hours(1)};

base::engine_name engine(int number) {
    return base::engine_name("e" + std::to_string(number));
}

/// Loses all paths at `at`, by two failures that began 300 ms before.
void lose_all(engine_paths& paths, base::monotonic_time at) {
    paths.failed(engine(1), at - 300ms, at);
    cr_assert(paths.failed(engine(2), at - 300ms, at) == path_change::all_lost);
}

}  // namespace

Test(engine_paths, one_failing_engine_is_lost_alone) {
    engine_paths paths;
    paths.heard(engine(2), start);
    cr_assert(paths.failed(engine(1), start + 1s, start + 1300ms) == path_change::none);
    cr_assert(paths.is_lost(engine(1)));
    cr_assert_not(paths.is_lost(engine(2)));
    cr_assert_not(paths.all_lost());
}

Test(engine_paths, engines_that_fail_one_after_the_other_are_not_all_lost_if_another_answers) {
    engine_paths paths;
    for (int number = 0; number < 20; ++number) {
        const base::monotonic_time at = start + number * 100ms;
        paths.heard(engine(100), at + 50ms);
        paths.failed(engine(number), at, at + 90ms);
    }
    cr_assert_not(paths.all_lost());
    cr_assert_eq(paths.failing().size(), 20);
}

Test(engine_paths, two_failures_without_an_answer_lose_all) {
    engine_paths paths;
    paths.heard(engine(3), start);
    lose_all(paths, start + 1s);
    cr_assert(paths.is_lost(engine(3)));
    cr_assert(paths.lost_since() == start + 1s);
}

Test(engine_paths, a_failure_that_began_before_the_engine_was_heard_is_ignored) {
    engine_paths paths;
    paths.heard(engine(1), start + 200ms);
    paths.failed(engine(1), start, start + 300ms);
    cr_assert_not(paths.is_lost(engine(1)));
}

Test(engine_paths, the_first_engine_heard_after_a_loss_returns_all) {
    engine_paths paths;
    lose_all(paths, start);
    cr_assert(paths.heard(engine(7), start + 5s) == path_change::regained);
    cr_assert_not(paths.is_lost(engine(1)));
    cr_assert_not(paths.needs_probes());
}

Test(engine_paths, a_path_that_is_lost_again_must_hold_before_it_is_used) {
    engine_paths paths;
    lose_all(paths, start);
    paths.heard(engine(7), start + 1s);
    lose_all(paths, start + 2s);
    cr_assert(paths.heard(engine(7), start + 3s) == path_change::none);
    cr_assert(paths.is_lost(engine(7)));
    cr_assert(paths.heard(engine(7), start + 4900ms) == path_change::none);
    cr_assert(paths.heard(engine(7), start + 5s) == path_change::regained);
}

// Guards against requests that are lost whenever a flapping path is lost again.
Test(engine_paths, a_path_that_flaps_is_used_once_more_at_the_most) {
    for (const base::duration period : {200ms, 500ms, 900ms, 1000ms, 1500ms, 1900ms}) {
        engine_paths paths;
        base::monotonic_time at = start;
        int regained = 0;
        for (int flap = 0; flap < 20; ++flap) {
            paths.failed(engine(1), at, at + 100ms);
            paths.failed(engine(2), at, at + 100ms);
            for (base::duration up{}; up < period; up += 50ms) {
                const auto change = paths.heard(engine(7), at + period + up);
                regained += change == path_change::regained ? 1 : 0;
            }
            at += 2 * period;
        }
        cr_assert_eq(regained, 1);
    }
}

Test(engine_paths, a_loss_while_a_path_must_hold_starts_the_hold_again) {
    engine_paths paths;
    lose_all(paths, start);
    paths.heard(engine(7), start + 1s);
    lose_all(paths, start + 2s);
    paths.heard(engine(7), start + 3s);
    paths.failed(engine(1), start + 3100ms, start + 3400ms);
    paths.failed(engine(2), start + 3100ms, start + 3400ms);
    cr_assert(paths.heard(engine(7), start + 3600ms) == path_change::none);
    cr_assert(paths.heard(engine(7), start + 5500ms) == path_change::none);
    cr_assert(paths.heard(engine(7), start + 5600ms) == path_change::regained);
}

Test(engine_paths, a_late_loss_is_no_relapse) {
    engine_paths paths;
    lose_all(paths, start);
    paths.heard(engine(7), start + 1s);
    lose_all(paths, start + 20s);
    cr_assert(paths.heard(engine(7), start + 21s) == path_change::regained);
}

Test(engine_paths, engines_that_are_no_longer_listed_are_forgotten) {
    engine_paths paths;
    paths.failed(engine(1), start, start + 300ms);
    paths.forget(engine(1));
    cr_assert_not(paths.needs_probes());
    cr_assert_not(paths.is_lost(engine(1)));
}
