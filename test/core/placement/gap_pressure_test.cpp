/// The pressure follows the share of streams with long gaps.
#include "ferryroad/core/placement/gap_pressure.hpp"

#include <criterion/criterion.h>

using namespace ferryroad::core::placement;
using namespace std::chrono_literals;

Test(gap_pressure, starts_at_one_half) {
    cr_assert_float_eq(gap_pressure().level(), 0.5, 1e-9);
}

Test(gap_pressure, streams_without_long_gaps_lower_it) {
    gap_pressure pressure;
    for (int stream = 0; stream < 300; ++stream) {
        pressure.record(100ms, 200ms);
    }
    cr_assert_lt(pressure.level(), 0.01);
}

Test(gap_pressure, one_stream_in_ten_with_long_gaps_saturates_it) {
    gap_pressure pressure;
    for (int stream = 0; stream < 300; ++stream) {
        pressure.record(stream % 10 == 0 ? 360ms : 100ms, 500ms);
    }
    cr_assert_float_eq(pressure.level(), 1.0, 1e-9);
}
