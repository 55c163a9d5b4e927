/// Imports of cached state: no duplicates, and limits on their number.
#include "ferryroad/core/routing/import_limiter.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace ferryroad;
using namespace ferryroad::core::routing;
using namespace std::chrono_literals;

import_move move_of(std::uint64_t piece, const std::string& source, const std::string& target) {
    return {base::piece_hash(piece), base::engine_name(source), base::engine_name(target)};
}

}  // namespace

Test(import_limiter, a_move_in_progress_is_not_started_again) {
    import_limiter limiter;
    const base::monotonic_time now{};
    cr_assert(limiter.begin(move_of(1, "a", "b"), now));
    cr_assert(!limiter.begin(move_of(1, "c", "b"), now), "whatever the source");
    cr_assert(limiter.begin(move_of(1, "a", "c"), now), "another target");
    cr_assert_eq(limiter.counters().same_in_flight, 1);
    limiter.finish(move_of(1, "a", "b"));
    cr_assert(limiter.begin(move_of(1, "a", "b"), now));
}

Test(import_limiter, a_move_without_a_reported_end_expires) {
    import_limiter limiter({.max_concurrent = 1, .max_duration = 2s});
    const base::monotonic_time now{};
    cr_assert(limiter.begin(move_of(1, "a", "b"), now));
    cr_assert(!limiter.begin(move_of(2, "a", "c"), now + 1s));
    cr_assert(limiter.begin(move_of(2, "a", "c"), now + 2s));
}

Test(import_limiter, the_limits_hold_at_any_time) {
    cr_assert(rc::check("at once, per source, per target; one of a kind", [] {
        const import_limits limits{.max_concurrent = *rc::gen::inRange<std::size_t>(1, 6),
                                   .max_per_engine = *rc::gen::inRange<std::size_t>(1, 4),
                                   .max_duration = 3s};
        import_limiter limiter(limits);
        struct started {
            import_move move;
            base::monotonic_time ends_at;
        };
        std::vector<started> model;
        base::monotonic_time now{};
        const auto steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            std::erase_if(model, [now](const started& each) { return now >= each.ends_at; });
            if (!model.empty() && *rc::gen::inRange(0, 3) == 0) {
                limiter.finish(model.front().move);
                model.erase(model.begin());
            } else {
                const auto move = move_of(*rc::gen::inRange<std::uint64_t>(0, 4),
                                          *rc::gen::element<std::string>("a", "b", "c"),
                                          *rc::gen::element<std::string>("d", "e", "f"));
                if (limiter.begin(move, now)) {
                    model.push_back({move, now + limits.max_duration});
                }
            }
            RC_ASSERT(limiter.in_progress(now) == model.size());
            RC_ASSERT(model.size() <= limits.max_concurrent);
            std::map<std::string, std::size_t> of_engine;
            std::map<std::pair<std::uint64_t, std::string>, int> of_kind;
            for (const started& each : model) {
                ++of_engine[each.move.source.value];
                ++of_engine[each.move.target.value];
                const std::pair kind(each.move.deepest.value, each.move.target.value);
                RC_ASSERT(++of_kind[kind] == 1);
            }
            for (const auto& [engine, moves] : of_engine) {
                RC_ASSERT(moves <= limits.max_per_engine);
            }
        }
    }));
}
