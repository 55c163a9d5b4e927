/// Drawing prefers healthy engines, engines of the router's own region and, for up to half of
/// them, engines with an open connection.
#include "ferryroad/core/placement/engine_draw.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace ferryroad::core::placement;

namespace {

std::vector<drawable_engine> numbered(std::size_t count) {
    std::vector<drawable_engine> all;
    for (std::size_t index = 0; index < count; ++index) {
        drawable_engine one;
        one.index = index;
        one.score = index * 7919 % 1009;  // Differs from the order of the list.
        all.push_back(one);
    }
    return all;
}

std::size_t count_drawn(const std::vector<std::size_t>& drawn,
                        const std::vector<drawable_engine>& all, bool drawable_engine::*which) {
    return static_cast<std::size_t>(std::count_if(
        drawn.begin(), drawn.end(), [&](std::size_t index) { return all[index].*which; }));
}

}  // namespace

Test(engine_draw, the_highest_scores_are_drawn_and_none_twice) {
    const auto all = numbered(100);
    const auto drawn = draw_engines(all, {});
    cr_assert_eq(drawn.size(), 16);
    cr_assert_eq(std::set<std::size_t>(drawn.begin(), drawn.end()).size(), 16);
    auto best = all;
    std::sort(best.begin(), best.end(),
              [](const auto& a, const auto& b) { return a.score > b.score; });
    for (std::size_t place = 0; place < 16; ++place) {
        cr_assert(std::find(drawn.begin(), drawn.end(), best[place].index) != drawn.end());
    }
}

Test(engine_draw, fewer_than_the_limit_are_all_drawn) {
    cr_assert_eq(draw_engines(numbered(5), {}).size(), 5);
    cr_assert(draw_engines({}, {}).empty());
}

Test(engine_draw, unhealthy_engines_are_drawn_only_if_too_few_others_are_left) {
    auto all = numbered(40);
    for (std::size_t index = 10; index < 40; ++index) {
        all[index].healthy = false;
        all[index].score += 10000;
    }
    const auto drawn = draw_engines(all, {});
    cr_assert_eq(drawn.size(), 16);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::healthy), 10);
}

Test(engine_draw, other_regions_have_a_small_share_if_the_own_region_has_enough_engines) {
    auto all = numbered(90);
    for (std::size_t index = 30; index < 90; ++index) {
        all[index].far = true;
        all[index].score += 10000;
    }
    cr_assert_eq(count_drawn(draw_engines(all, {}), all, &drawable_engine::far), 4);
}

Test(engine_draw, other_regions_fill_up_before_unhealthy_engines) {
    auto all = numbered(60);
    for (std::size_t index = 0; index < 60; ++index) {
        all[index].far = index >= 20;
        all[index].healthy = index >= 18;
    }
    const auto drawn = draw_engines(all, {});
    cr_assert_eq(drawn.size(), 16);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::far), 14);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::healthy), 16);
}

Test(engine_draw, at_most_half_are_drawn_because_of_an_open_connection) {
    auto all = numbered(100);
    for (std::size_t index = 50; index < 100; ++index) {
        all[index].connected = true;
        all[index].score /= 1000;  // By score alone none of them would be drawn.
    }
    cr_assert_eq(count_drawn(draw_engines(all, {}), all, &drawable_engine::connected), 8);
}
