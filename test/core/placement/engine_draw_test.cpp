/// A request draws a few engines: sound ones first, mostly of its own region, some that a
/// connection is kept to.
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
        one.score = index * 7919 % 1009;  // Any order but the list's.
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

Test(engine_draw, suspended_engines_are_drawn_only_where_too_few_others_are) {
    auto all = numbered(40);
    for (std::size_t index = 10; index < 40; ++index) {
        all[index].sound = false;
        all[index].score += 10000;
    }
    const auto drawn = draw_engines(all, {});
    cr_assert_eq(drawn.size(), 16);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::sound), 10);
}

Test(engine_draw, other_regions_have_a_small_part_while_the_own_has_room) {
    auto all = numbered(90);
    for (std::size_t index = 30; index < 90; ++index) {
        all[index].far = true;
        all[index].score += 10000;
    }
    cr_assert_eq(count_drawn(draw_engines(all, {}), all, &drawable_engine::far), 4);
}

Test(engine_draw, other_regions_fill_up_before_unsound_engines) {
    auto all = numbered(60);
    for (std::size_t index = 0; index < 60; ++index) {
        all[index].far = index >= 20;
        all[index].sound = index >= 18;
    }
    const auto drawn = draw_engines(all, {});
    cr_assert_eq(drawn.size(), 16);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::far), 14);
    cr_assert_eq(count_drawn(drawn, all, &drawable_engine::sound), 16);
}

Test(engine_draw, at_most_half_are_drawn_because_a_connection_is_kept) {
    auto all = numbered(100);
    for (std::size_t index = 50; index < 100; ++index) {
        all[index].connected = true;
        all[index].score /= 1000;  // By their scores none would be drawn.
    }
    cr_assert_eq(count_drawn(draw_engines(all, {}), all, &drawable_engine::connected), 8);
}
