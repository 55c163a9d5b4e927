/// Selection of an engine for typical combinations of load, cached state and distance.
#include "ferryroad/core/placement/placement.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace ferryroad;
using namespace ferryroad::core;
using namespace ferryroad::core::placement;

namespace {

engine_candidate engine(const char* name) {
    engine_candidate one;
    one.name.value = name;
    one.slots = 32;
    return one;
}

placement_query long_prompt(std::vector<engine_candidate> candidates) {
    return {12000, 9000, std::move(candidates)};
}

std::string winner(const placement_query& query) {
    const auto choice = choose_engine(query, placement_tunables{});
    return choice ? query.candidates[choice->candidate].name.value : "";
}

}  // namespace

Test(placement, no_candidates) {
    cr_assert_not(choose_engine(placement_query{}, placement_tunables{}).has_value());
}

Test(placement, the_holder_of_the_prompt_wins) {
    auto holder = engine("b");
    holder.warm_tokens = 9000;
    cr_assert_str_eq(winner(long_prompt({engine("a"), holder})).c_str(), "b");
}

Test(placement, the_home_wins_where_nothing_is_known) {
    auto home = engine("b");
    home.home = true;
    cr_assert_str_eq(winner(long_prompt({engine("a"), home})).c_str(), "b");
}

Test(placement, an_engine_that_can_fetch_beats_one_that_must_recompute) {
    auto fetching = engine("b");
    fetching.fetchable_tokens = 9000;
    cr_assert_str_eq(winner(long_prompt({engine("a"), fetching})).c_str(), "b");
}

Test(placement, the_home_is_not_preferred_to_a_holder) {
    auto home = engine("a");
    home.home = true;
    home.fetchable_tokens = 9000;
    auto holder = engine("b");
    holder.warm_tokens = 9000;
    cr_assert_str_eq(winner(long_prompt({home, holder})).c_str(), "b");
}

Test(placement, an_idle_engine_fetches_from_a_busy_holder) {
    auto holder = engine("a");
    holder.warm_tokens = 9000;
    holder.pending_prefill_tokens = 12000;
    auto idle = engine("b");
    idle.fetchable_tokens = 9000;
    cr_assert_str_eq(winner(long_prompt({holder, idle})).c_str(), "b");
}

Test(placement, a_long_prefill_goes_where_it_delays_few_streams) {
    auto crowded = engine("a");
    crowded.slots = 1000;  // So that only the delays of streams count.
    crowded.running = 8;
    auto other_zone = engine("b");
    other_zone.away = topology::distance::other_zone;
    placement_query query = long_prompt({crowded, other_zone});
    cr_assert_str_eq(winner(query).c_str(), "a");
    query.target_gap = std::chrono::milliseconds(300);
    cr_assert_str_eq(winner(query).c_str(), "b");
    query.gap_pressure = 0;
    cr_assert_str_eq(winner(query).c_str(), "a");
    query.gap_pressure = 1;
    query.target_gap = std::chrono::milliseconds(600);
    cr_assert_str_eq(winner(query).c_str(), "b");  // The prefill takes more than half of the gap.
    query.target_gap = std::chrono::milliseconds(1200);
    cr_assert_str_eq(winner(query).c_str(), "a");
}

Test(placement, a_crowded_holder_loses_in_the_end) {
    auto holder = engine("b");
    holder.warm_tokens = 9000;
    holder.pending_prefill_tokens = 60000;
    cr_assert_str_eq(winner(long_prompt({engine("a"), holder})).c_str(), "a");
}

Test(placement, short_requests_go_to_the_least_busy) {
    auto busy = engine("a");
    busy.running = 6;
    cr_assert_str_eq(winner({0, 0, {busy, engine("b")}}).c_str(), "b");
}

Test(placement, the_own_zone_wins_among_equals) {
    auto far = engine("a");
    far.away = topology::distance::other_zone;
    cr_assert_str_eq(winner({100, 0, {far, engine("b")}}).c_str(), "b");
}

Test(placement, newer_weights_win_unless_crowded) {
    auto outdated = engine("a");
    outdated.outdated = true;
    auto current = engine("b");
    cr_assert_str_eq(winner({100, 0, {outdated, current}}).c_str(), "b");
    current.pending_prefill_tokens = 100000;
    cr_assert_str_eq(winner({100, 0, {outdated, current}}).c_str(), "a");
}

Test(placement, a_suspended_engine_is_the_last_resort) {
    auto suspended = engine("a");
    suspended.suspended = true;
    suspended.warm_tokens = 9000;
    cr_assert_str_eq(winner(long_prompt({suspended, engine("b")})).c_str(), "b");
    cr_assert_str_eq(winner(long_prompt({suspended})).c_str(), "a");
}

Test(placement, unknown_load_spreads_requests) {
    auto holder = engine("a");
    holder.warm_tokens = 9000;
    holder.pending_prefill_tokens = 6000;
    auto other = engine("b");
    other.fetchable_tokens = 9000;
    auto query = long_prompt({holder, other});
    cr_assert_str_eq(winner(query).c_str(), "a");
    query.load_multiplier = 4;
    cr_assert_str_eq(winner(query).c_str(), "b");
}

Test(placement, a_zone_with_unknown_load_is_avoided) {
    auto near = engine("b");
    near.running = 32;
    auto far = engine("a");
    far.away = topology::distance::other_zone;
    placement_query query{0, 0, {far, near}};
    cr_assert_str_eq(winner(query).c_str(), "a");
    query.load_multiplier = 2;
    cr_assert_str_eq(winner(query).c_str(), "b");
}
