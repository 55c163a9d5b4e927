/// Tests of how long the answer of another router is waited for.
#include "ferryroad/coordination/quota/answer_times.hpp"

#include <criterion/criterion.h>

namespace {

using namespace ferryroad;
using namespace ferryroad::coordination::quota;
using namespace std::chrono_literals;

const base::router_name near("near");
const base::router_name far("far");

answer_times times_of_two() {
    answer_times times;
    times.set_routers({{near, false}, {far, true}});
    return times;
}

}  // namespace

Test(answer_times, a_router_of_another_region_is_waited_for_before_its_first_answer) {
    const answer_times times = times_of_two();
    cr_assert(times.timeout(near) == 40ms);
    cr_assert(times.timeout(far) == 200ms);
    cr_assert(times.timeout(base::router_name("unknown")) == 40ms);
}

Test(answer_times, every_distance_up_to_the_longest_timeout_is_learned) {
    for (const auto distance : {1ms, 20ms, 43ms, 120ms, 300ms, 350ms}) {
        answer_times times = times_of_two();
        for (int answer = 0; answer < 50; ++answer) {
            times.record(far, distance);
        }
        cr_assert(times.timeout(far) >= distance + 40ms);
        cr_assert(times.timeout(far) <= distance + 45ms);
    }
}

Test(answer_times, an_answer_that_comes_late_makes_the_next_one_be_waited_for) {
    answer_times times = times_of_two();
    for (int answer = 0; answer < 50; ++answer) {
        times.record(near, 2ms);
    }
    for (int answer = 0; answer < 3; ++answer) {
        times.record(near, 90ms);
    }
    cr_assert(times.timeout(near) > 90ms);
}

Test(answer_times, the_timeout_is_bounded) {
    answer_times times = times_of_two();
    times.record(far, 10s);
    times.record(far, -1s);  // After a step of a clock.
    cr_assert(times.timeout(far) == 400ms);
}

Test(answer_times, what_is_known_of_a_router_outlasts_a_change_of_the_list) {
    answer_times times = times_of_two();
    times.record(near, 100ms);
    const base::duration learned = times.timeout(near);
    times.set_routers({{near, false}});
    cr_assert(times.timeout(near) == learned);
    times.set_routers({{far, true}});
    times.set_routers({{near, false}});
    cr_assert(times.timeout(near) == 40ms);
}
