/// Guarantees of the heavy-hitter sketch about rates.
#include "ferryroad/core/prefix/heat.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::prefix;
using namespace std::chrono_literals;

}  // namespace

Test(heat, rate_of_a_steady_stream_is_found_and_decays) {
    heat sketch({.entries = 8, .half_life = 10s});
    base::monotonic_time now{};
    for (int request = 0; request < 500; ++request) {
        now += 200ms;
        sketch.record(base::piece_hash(1), now);
    }
    cr_assert_float_eq(sketch.rate(base::piece_hash(1), now), 5.0, 0.2);
    cr_assert_float_eq(sketch.rate(base::piece_hash(1), now + 10s), 2.5, 0.1);
    cr_assert_eq(sketch.rate(base::piece_hash(2), now), 0);
}

Test(heat, hot_pieces_are_never_missed_nor_underestimated) {
    cr_assert(rc::check("counted pieces are not underestimated; heavy ones are counted", [] {
        constexpr std::size_t counters = 8;
        const heat_settings settings{.entries = counters, .half_life = 10s};
        heat sketch(settings);
        std::map<base::piece_hash, double> truth;
        base::monotonic_time now{};
        const auto requests = *rc::gen::inRange(1, 300);
        for (int request = 0; request < requests; ++request) {
            const auto step = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            now += step;
            for (auto& [piece, weight] : truth) {
                weight *= std::exp2(-base::to_seconds(step) / base::to_seconds(settings.half_life));
            }
            const auto drawn = *rc::gen::inRange<std::uint64_t>(0, 40);
            const base::piece_hash piece(drawn > 30 ? 0 : drawn);
            truth[piece] += 1;
            sketch.record(piece, now);
        }
        double total = 0;
        for (const auto& [piece, weight] : truth) {
            total += weight;
        }
        const double to_rate = std::log(2.0) / base::to_seconds(settings.half_life);
        for (const auto& [piece, weight] : truth) {
            const double rate = sketch.rate(piece, now);
            RC_ASSERT(rate == 0 || rate >= weight * to_rate * 0.999);
            RC_ASSERT(rate <= total * to_rate * 1.001);
            RC_ASSERT(weight <= total / counters || rate > 0);
        }
        RC_ASSERT(sketch.hottest(100, now).size() <= counters);
    }));
}
