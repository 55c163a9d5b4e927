/// The bounds on begin and run time follow the observations and decide whether an engine is used.
#include "ferryroad/core/placement/begin_forecast.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ferryroad;
using namespace ferryroad::core::placement;
using namespace std::chrono_literals;

namespace {

constexpr base::monotonic_time start{};

/// @return the share of uniformly distributed values from 1 to 100 that are below a learned bound.
double share_below_bound() {
    const forecast_tunables tunables;
    adaptive_bound bound;
    int below = 0;
    constexpr int warm_up = 2000;
    constexpr int counted = 20000;
    std::uint64_t state = 7;
    for (int value = 0; value < warm_up + counted; ++value) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        const double ratio = 1 + static_cast<double>((state >> 33U) % 100);
        below += value >= warm_up && ratio <= bound.value() ? 1 : 0;
        bound.record(ratio, tunables);
    }
    return static_cast<double>(below) / counted;
}

}  // namespace

Test(begin_forecast, the_bound_holds_for_about_the_target_share) {
    cr_assert_gt(share_below_bound(), 0.9);
    cr_assert_lt(share_below_bound(), 0.99);
}

Test(begin_forecast, the_initial_estimate_depends_on_prefill) {
    const begin_forecast forecast;
    cr_assert(forecast.begins_within(0) == 50ms);
    cr_assert(forecast.begins_within(35000) == 1050ms);
    cr_assert(forecast.runs_within(30) == 600ms);
}

Test(begin_forecast, follows_a_slowdown_and_its_end) {
    begin_forecast forecast;
    for (int request = 0; request < 20; ++request) {
        forecast.began(300, 2s);
    }
    cr_assert(forecast.begins_within(300) > 1900ms);
    for (int request = 0; request < 400; ++request) {
        forecast.began(300, 40ms);
    }
    cr_assert(forecast.begins_within(300) < 60ms);
}

Test(begin_forecast, slow_long_prompts_do_not_affect_short_ones) {
    begin_forecast forecast;
    for (int request = 0; request < 50; ++request) {
        forecast.began(300, 40ms);
        forecast.began(40000, 5s);
    }
    cr_assert(forecast.begins_within(40000) > 4s);
    cr_assert(forecast.begins_within(300) < 100ms);
}

Test(begin_forecast, a_size_without_samples_takes_the_larger_factor_of_its_neighbours) {
    begin_forecast forecast;
    for (int request = 0; request < 50; ++request) {
        forecast.began(300, 40ms);
        forecast.began(40000, 5s);
    }
    cr_assert(forecast.begins_within(5000) > 500ms);
    cr_assert(forecast.begins_within(100000) > 10s);
    cr_assert(forecast.begins_within(0) < 60ms);
}

Test(begin_forecast, a_stop_time_is_given_if_the_answer_ends_in_time) {
    const begin_forecast forecast;
    // The bound to begin is 1,050 ms, and twice the run time is 1,200 ms (2 times 600 ms).
    const auto limit = forecast.limit_for({35000, 30}, start + 2250ms, start);
    cr_assert(limit == (begin_limit{start + 2250ms, true}));
    const auto shorter = forecast.limit_for({35000, 30}, start + 2200ms, start);
    cr_assert(shorter == (begin_limit{start + 2200ms, false}));
}

Test(begin_forecast, an_engine_expected_to_begin_too_late_is_not_used) {
    const begin_forecast forecast;
    cr_assert_not(forecast.limit_for({35000, 30}, start + 1s, start).has_value());
    cr_assert_not(forecast.limit_for({0, 30}, start - 1s, start).has_value());
}

Test(begin_forecast, more_time_to_begin_is_required_without_a_stop_time) {
    const begin_forecast forecast;
    const auto limit = forecast.limit_for({35000, 4000}, start + 2s, start);
    cr_assert(limit == (begin_limit{start + 2s, false}));
    cr_assert_not(forecast.limit_for({35000, 4000}, start + 1500ms, start).has_value());
}

Test(begin_forecast, no_limit_is_given_if_the_begin_is_expected_too_late) {
    rc::check([] {
        begin_forecast forecast;
        const int seen = *rc::gen::inRange(0, 60);
        for (int request = 0; request < seen; ++request) {
            const auto tokens = *rc::gen::inRange<std::uint64_t>(0, 200000);
            forecast.began(tokens, std::chrono::milliseconds(*rc::gen::inRange(0, 60000)));
            forecast.ended(tokens, std::chrono::milliseconds(*rc::gen::inRange(0, 60000)));
        }
        const expected_work work{*rc::gen::inRange<std::uint64_t>(0, 200000),
                                 *rc::gen::inRange<std::uint64_t>(0, 5000)};
        const base::monotonic_time by =
            start + std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
        const auto limit = forecast.limit_for(work, by, start);
        if (limit) {
            RC_ASSERT(limit->begin_by == by);
            RC_ASSERT(start + forecast.begins_within(work.tokens_before) <= by);
        }
    });
}
