/// Placement over several regions: within one region the costs are the same as without regions;
/// between regions latency, traffic and the fetching of state count.
#include "ferryroad/core/placement/placement.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace ferryroad;
using namespace ferryroad::core;
using namespace ferryroad::core::placement;

namespace {

engine_candidate engine(const char* name, topology::distance away) {
    engine_candidate one;
    one.name.value = name;
    one.slots = 32;
    one.away = away;
    one.path_ms = away == topology::distance::other_region ? 40 : 0;
    return one;
}

std::string winner(const placement_query& query) {
    return query.candidates[choose_engine(query, placement_tunables{})->candidate].name.value;
}

/// Reference implementation without regions, whose cost must result with a single region.
double cost_in_one_region(const placement_query& query, const engine_candidate& engine,
                          const placement_tunables& tunables) {
    const std::uint64_t warm = std::min(engine.warm_tokens, query.shared_tokens);
    const std::uint64_t held =
        std::min(std::max(engine.fetchable_tokens, warm), query.shared_tokens);
    const auto moved = static_cast<double>(held - warm);
    auto read = static_cast<double>(query.shared_tokens - held);
    read *= engine.home ? 1 - tunables.home_cached_share : 1.0;
    const auto pending = static_cast<double>(engine.pending_prefill_tokens);
    double cost = moved > 0 ? tunables.fetch_ms + moved * tunables.fetch_token_ms : 0.0;
    cost += read * tunables.recompute_factor / tunables.prefill_tokens_per_ms;
    cost += static_cast<double>(query.input_tokens -
                                std::min(query.shared_tokens, query.input_tokens)) /
            tunables.prefill_tokens_per_ms;
    cost += pending * query.load_multiplier / tunables.prefill_tokens_per_ms;
    cost += static_cast<double>(engine.running) / engine.slots * query.load_multiplier *
            tunables.full_engine_ms;
    const double gap_ms = base::to_seconds(query.target_gap) * 1000;
    if (gap_ms > 0) {
        const std::uint64_t known = std::max(engine.warm_tokens, engine.fetchable_tokens);
        const auto unread =
            static_cast<double>(query.input_tokens - std::min(known, query.input_tokens));
        const double late = ((pending + unread) / tunables.prefill_tokens_per_ms / gap_ms -
                             tunables.harmless_gap_share) /
                            (tunables.late_gap_share - tunables.harmless_gap_share);
        cost += std::clamp(late, 0.0, 1.0) * engine.running * tunables.late_stream_ms *
                query.gap_pressure;
    }
    if (engine.away != topology::distance::same_zone) {
        cost += tunables.other_zone_ms +
                (query.load_multiplier > 1 ? tunables.unknown_zone_load_ms : 0.0);
    }
    cost += engine.outdated ? tunables.outdated_ms : 0.0;
    return cost + (engine.suspended ? tunables.suspended_ms : 0.0);
}

placement_query random_query(std::mt19937_64& random) {
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    placement_query query;
    query.shared_tokens = below(2) * below(9000);
    query.input_tokens = query.shared_tokens + below(6000);
    query.target_gap = std::chrono::milliseconds(below(3) * 300);
    query.gap_pressure = static_cast<double>(below(11)) / 10;
    query.load_multiplier = 1 + static_cast<double>(below(3));
    query.transfer_kb = static_cast<double>(below(60));
    const std::uint64_t max_cached = query.shared_tokens + 1;
    for (std::uint64_t index = 0; index < 1 + below(12); ++index) {
        const bool own = below(2) == 0;
        auto one =
            engine("e", own ? topology::distance::same_zone : topology::distance::other_zone);
        one.running = static_cast<std::uint32_t>(below(40));
        one.pending_prefill_tokens = below(3) * below(20000);
        one.warm_tokens = below(2) * below(max_cached);
        one.fetchable_tokens = below(2) * below(max_cached);
        one.far_fetchable_tokens = one.fetchable_tokens;  // There is only one region.
        one.home = below(5) == 0;
        one.outdated = below(4) == 0;
        one.suspended = below(6) == 0;
        query.candidates.push_back(one);
    }
    return query;
}

}  // namespace

Test(placement_regions, a_single_region_gives_the_same_costs_as_without_regions) {
    std::mt19937_64 random(20);
    const placement_tunables tunables;
    for (int round = 0; round < 5000; ++round) {
        const placement_query query = random_query(random);
        std::size_t best = 0;
        for (std::size_t index = 1; index < query.candidates.size(); ++index) {
            const double cost = cost_in_one_region(query, query.candidates[index], tunables);
            if (cost + 1e-9 < cost_in_one_region(query, query.candidates[best], tunables)) {
                best = index;
            }
        }
        const auto choice = choose_engine(query, tunables);
        const double cost = cost_in_one_region(query, query.candidates[best], tunables);
        cr_assert_float_eq(choice->cost_ms, cost, 1e-6);
        const auto& chosen = query.candidates[choice->candidate];
        cr_assert_float_eq(cost_in_one_region(query, chosen, tunables), cost, 1e-6);
    }
}

Test(placement_regions, another_region_wins_only_if_the_own_region_is_full) {
    auto own = engine("own", topology::distance::other_zone);
    const auto far = engine("far", topology::distance::other_region);
    cr_assert(winner({900, 0, {far, own}}) == "own");
    own.pending_prefill_tokens = 20000;
    cr_assert(winner({900, 0, {far, own}}) == "far");
    own.pending_prefill_tokens = 0;
    own.suspended = true;
    cr_assert(winner({900, 0, {far, own}}) == "far");
}

Test(placement_regions, latency_and_traffic_count) {
    auto busy = engine("own", topology::distance::other_zone);
    busy.pending_prefill_tokens = 1800;  // 51 ms of prefill.
    auto far = engine("far", topology::distance::other_region);
    placement_query query{900, 0, {far, busy}};
    cr_assert(winner(query) == "far");
    query.transfer_kb = 30;
    cr_assert(winner(query) == "own");
    query.transfer_kb = 0;
    query.candidates.front().path_ms = 80;
    cr_assert(winner(query) == "own");
}

Test(placement_regions, a_far_holder_wins_over_recomputing_a_long_prompt) {
    auto holder = engine("holder", topology::distance::other_region);
    holder.warm_tokens = 6300;
    auto own = engine("own", topology::distance::same_zone);
    own.far_fetchable_tokens = 6300;
    placement_query query{9200, 6300, {own, holder}};
    query.transfer_kb = 10;
    cr_assert(winner(query) == "holder");
    query.shared_tokens = 200;
    query.input_tokens = 800;
    cr_assert(winner(query) == "own");
}

Test(placement_regions, state_is_fetched_or_recomputed_whichever_is_cheapest) {
    const placement_tunables tunables;
    auto own = engine("own", topology::distance::same_zone);
    const placement_query query{9200, 6300, {}};
    own.far_fetchable_tokens = 6300;
    shared_state_plan plan = plan_shared_state(query, own, tunables);
    cr_assert(plan.from_far);
    cr_assert_eq(plan.fetched_tokens, 6300);
    own.fetchable_tokens = 6000;
    cr_assert_not(plan_shared_state(query, own, tunables).from_far);
    cr_assert_eq(plan_shared_state(query, own, tunables).fetched_tokens, 6000);
    own.fetchable_tokens = 0;
    placement_tunables slow = tunables;
    slow.far_fetch_factor = 20;
    plan = plan_shared_state(query, own, slow);
    cr_assert_not(plan.from_far);
    cr_assert_eq(plan.fetched_tokens, 0);
}
