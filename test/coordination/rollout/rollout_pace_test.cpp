/// As few engines as possible load at once, but as many as needed to be in time.
#include "ferryroad/coordination/rollout/rollout_pace.hpp"

#include <criterion/criterion.h>

using namespace ferryroad::coordination::rollout;
using namespace std::chrono_literals;

Test(rollout_pace, a_sixth_while_there_is_time) {
    const rollout_pace pace;
    cr_assert_eq(pace.allowed(12, 12, 6s), 2);
    cr_assert_eq(pace.allowed(18, 18, 6s), 3);
    cr_assert_eq(pace.allowed(1200, 1200, 6s), 204);
}

Test(rollout_pace, at_least_one) {
    const rollout_pace pace;
    cr_assert_eq(pace.allowed(1, 1, 6s), 1);
    cr_assert_eq(pace.allowed(1, 1, -1s), 1);
    cr_assert_eq(pace.allowed(2, 2, 0s), 1);
}

Test(rollout_pace, more_if_the_rest_would_be_late) {
    const rollout_pace pace;
    cr_assert_eq(pace.allowed(12, 9, 1800ms), 3);
    cr_assert_eq(pace.allowed(12, 12, -1s), 4);
    cr_assert_eq(pace.allowed(12, 1, -1s), 2);
}

Test(rollout_pace, learns_how_long_loads_take) {
    rollout_pace pace;
    for (int index = 0; index < 20; ++index) {
        pace.loaded(3s);
    }
    cr_assert_gt(pace.load_time().count(), (2900ms).count());
    cr_assert_eq(pace.allowed(12, 12, 6s), 4);
}

Test(rollout_pace, is_behind_schedule_if_the_usual_share_would_be_late) {
    const rollout_pace pace;
    cr_assert_not(pace.is_behind_schedule(18, 18, 6s));
    cr_assert(pace.is_behind_schedule(18, 18, 3s));
    cr_assert_not(pace.is_behind_schedule(18, 3, 0s));
    cr_assert_not(pace.is_behind_schedule(1, 1, -1s));
}

Test(rollout_pace, more_may_be_about_to_load_as_time_runs_out) {
    const rollout_pace pace;
    cr_assert_eq(pace.max_loading(18), 6);
    cr_assert_eq(pace.max_loading(1), 1);
    cr_assert_eq(pace.max_exposed(18, 0), 6);
    cr_assert_eq(pace.max_exposed(18, 0.5), 12);
    cr_assert_eq(pace.max_exposed(18, 0.99), 17);
    cr_assert_eq(pace.max_exposed(18, 1), 18);
    cr_assert_eq(pace.max_exposed(18, 7), 18);
    cr_assert_eq(pace.max_exposed(2, 0.5), 1);
}
