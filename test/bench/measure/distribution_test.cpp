/// Quantiles are exact; bins lose no sample.
#include "bench/measure/distribution.hpp"

#include "bench/measure/summary.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using namespace ferryroad::bench::measure;

}  // namespace

Test(distribution, empty_has_no_quantile) {
    const distribution times;
    cr_assert_eq(times.quantile(0.99), 0);
    cr_assert_eq(times.mean(), 0);
    cr_assert(times.bins().empty());
}

Test(distribution, nearest_rank) {
    distribution times;
    for (int value = 100; value >= 1; --value) {
        times.add(value);
    }
    cr_assert_eq(times.quantile(0.5), 50);
    cr_assert_eq(times.quantile(0.95), 95);
    cr_assert_eq(times.quantile(0.99), 99);
    cr_assert_eq(times.quantile(1.0), 100);
    cr_assert_eq(times.quantile(0.0), 1);
}

Test(distribution, bins_hold_every_sample) {
    cr_assert(rc::check("bins hold every sample", [](const std::vector<std::uint32_t>& samples) {
        distribution times;
        for (const std::uint32_t sample : samples) {
            times.add(static_cast<double>(sample) / 1e5);
        }
        std::uint64_t held = 0;
        for (const bin& entry : times.bins()) {
            RC_ASSERT(entry.from < entry.to);
            held += entry.count;
        }
        RC_ASSERT(held == samples.size());
    }));
}

Test(summary, shares) {
    summary run;
    cr_assert_eq(run.hit_rate(), 0);
    run.tokens = {1000, 600, 100};
    run.refused = {{"overloaded", 3}, {"not_ready", 2}};
    cr_assert_float_eq(run.hit_rate(), 0.6, 1e-9);
    cr_assert_float_eq(run.wasted_share(), 0.1, 1e-9);
    cr_assert_eq(run.refused_count(), 5U);
}
