#include "ferryroad/core/placement/placement.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

namespace {

/// @return the cost of a shared token that no cache is known to hold, as a multiple of its prefill
/// time.
double unknown_factor(const placement_query& query, const engine_candidate& engine,
                      const placement_tunables& tunables) {
    if (engine.home) {
        const double cached_share = query.all_holders_known
                                        ? tunables.home_cached_share
                                        : tunables.unconfirmed_home_cached_share;
        return (1 - cached_share) * tunables.recompute_factor;
    }
    return query.all_holders_known ? tunables.recompute_factor
                                   : tunables.avoidable_recompute_factor;
}

/// @return the plan that fetches the cached shared tokens and computes the others.
shared_state_plan make_plan(const placement_query& query, const engine_candidate& engine,
                            const placement_tunables& tunables, bool from_far) {
    const std::uint64_t warm = std::min(engine.warm_tokens, query.shared_tokens);
    const std::uint64_t fetchable =
        from_far ? engine.far_fetchable_tokens : engine.fetchable_tokens;
    const std::uint64_t cached = std::min(std::max(fetchable, warm), query.shared_tokens);
    shared_state_plan plan;
    plan.fetched_tokens = cached - warm;
    plan.from_far = from_far;
    const std::uint64_t known =
        std::max(cached, std::min(engine.far_fetchable_tokens, query.shared_tokens));
    const auto recomputed = static_cast<double>(known - cached);
    const auto unknown = static_cast<double>(query.shared_tokens - known);
    const double computed = unknown * unknown_factor(query, engine, tunables) +
                            recomputed * tunables.avoidable_recompute_factor;
    const double each = tunables.fetch_token_ms * (from_far ? tunables.far_fetch_factor : 1.0);
    const double fetch = plan.fetched_tokens > 0
                             ? tunables.fetch_ms + static_cast<double>(plan.fetched_tokens) * each
                             : 0.0;
    plan.cost_ms = fetch + computed / tunables.prefill_tokens_per_ms;
    return plan;
}

double prefill_cost(const placement_query& query, const engine_candidate& engine,
                    const placement_tunables& tunables) {
    const double own =
        static_cast<double>(query.input_tokens - std::min(query.shared_tokens, query.input_tokens));
    return own / tunables.prefill_tokens_per_ms +
           plan_shared_state(query, engine, tunables).cost_ms;
}

/// @return the expected cost of delays of the engine's running streams during the prefill of this
/// prompt and of those queued before it.
double interference_cost(const placement_query& query, const engine_candidate& engine,
                         const placement_tunables& tunables) {
    const double gap_ms = base::to_seconds(query.target_gap) * 1000;
    if (gap_ms <= 0) {
        return 0;
    }
    const std::uint64_t moved = plan_shared_state(query, engine, tunables).fetched_tokens;
    const std::uint64_t held = std::max(engine.warm_tokens + moved, engine.fetchable_tokens);
    const std::uint64_t computed = query.input_tokens - std::min(held, query.input_tokens);
    const double prefill_ms = static_cast<double>(engine.pending_prefill_tokens + computed) /
                              tunables.prefill_tokens_per_ms;
    const double span = tunables.late_gap_share - tunables.harmless_gap_share;
    const double late = (prefill_ms / gap_ms - tunables.harmless_gap_share) / span;
    const double each = tunables.late_stream_ms * query.gap_pressure;
    return std::clamp(late, 0.0, 1.0) * engine.running * each;
}

/// @return the cost of latency and traffic to the engine's zone and of not knowing the load there.
double distance_cost(const placement_query& query, const engine_candidate& engine,
                     const placement_tunables& tunables) {
    if (engine.away == topology::distance::same_zone) {
        return 0;
    }
    const double unknown_load = query.load_multiplier > 1 ? tunables.unknown_zone_load_ms : 0.0;
    const bool far = engine.away == topology::distance::other_region;
    const double region_cost =
        far ? engine.path_ms + query.transfer_kb * tunables.region_kb_ms : 0.0;
    return tunables.other_zone_ms + unknown_load + region_cost;
}

double cost_of(const placement_query& query, const engine_candidate& engine,
               const placement_tunables& tunables) {
    const double pending = static_cast<double>(engine.pending_prefill_tokens);
    const double queue = pending * query.load_multiplier / tunables.prefill_tokens_per_ms;
    const double share = static_cast<double>(engine.running) / std::max(1U, engine.slots);
    const double occupancy = share * query.load_multiplier * tunables.full_engine_ms;
    double cost = prefill_cost(query, engine, tunables) + queue + occupancy;
    cost += interference_cost(query, engine, tunables);
    cost += distance_cost(query, engine, tunables);
    cost += engine.connected ? 0.0 : tunables.connect_ms;
    cost += engine.outdated ? tunables.outdated_ms : 0.0;
    cost += engine.suspended ? tunables.suspended_ms : 0.0;
    return cost;
}

}  // namespace

shared_state_plan plan_shared_state(const placement_query& query, const engine_candidate& engine,
                                    const placement_tunables& tunables) {
    const shared_state_plan near = make_plan(query, engine, tunables, false);
    if (engine.far_fetchable_tokens <= engine.fetchable_tokens) {
        return near;
    }
    const shared_state_plan far = make_plan(query, engine, tunables, true);
    return far.cost_ms < near.cost_ms ? far : near;
}

std::optional<placement_choice> choose_engine(const placement_query& query,
                                              const placement_tunables& tunables) {
    std::optional<placement_choice> best;
    for (std::size_t index = 0; index < query.candidates.size(); ++index) {
        const double cost = cost_of(query, query.candidates[index], tunables);
        if (!best || cost < best->cost_ms) {
            best = placement_choice{index, cost};
        }
    }
    return best;
}

}  // namespace ferryroad::core::placement
