#include "ferryroad/core/placement/placement.hpp"

#include <algorithm>

namespace ferryroad::core::placement {

namespace {

/// What the shared parts cost here: those that can be fetched are moved, the others are read.
double shared_cost(const placement_query& query, const engine_candidate& engine,
                   const placement_tunables& tunables) {
    const std::uint64_t warm = std::min(engine.warm_tokens, query.shared_tokens);
    const std::uint64_t held_somewhere =
        std::min(std::max(engine.fetchable_tokens, warm), query.shared_tokens);
    const auto moved = static_cast<double>(held_somewhere - warm);
    auto read = static_cast<double>(query.shared_tokens - held_somewhere);
    read *= engine.home ? 1 - tunables.home_warmth : 1.0;
    const double moving = moved > 0 ? tunables.fetch_ms + moved * tunables.fetch_token_ms : 0.0;
    return moving + read * tunables.recompute_factor / tunables.prefill_tokens_per_ms;
}

double prefill_cost(const placement_query& query, const engine_candidate& engine,
                    const placement_tunables& tunables) {
    const double own =
        static_cast<double>(query.input_tokens - std::min(query.shared_tokens, query.input_tokens));
    return own / tunables.prefill_tokens_per_ms + shared_cost(query, engine, tunables);
}

/// What the streams that run there are likely to lose while this prompt and those before it
/// are read.
double interference_cost(const placement_query& query, const engine_candidate& engine,
                         const placement_tunables& tunables) {
    const double gap_ms = base::to_seconds(query.target_gap) * 1000;
    if (gap_ms <= 0) {
        return 0;
    }
    const std::uint64_t held = std::max(engine.warm_tokens, engine.fetchable_tokens);
    const std::uint64_t read = query.input_tokens - std::min(held, query.input_tokens);
    const double reading_ms =
        static_cast<double>(engine.pending_prefill_tokens + read) / tunables.prefill_tokens_per_ms;
    const double span = tunables.late_gap_share - tunables.harmless_gap_share;
    const double late = (reading_ms / gap_ms - tunables.harmless_gap_share) / span;
    const double each = tunables.late_stream_ms * query.gap_pressure;
    return std::clamp(late, 0.0, 1.0) * engine.running * each;
}

double cost_of(const placement_query& query, const engine_candidate& engine,
               const placement_tunables& tunables) {
    const double pending = static_cast<double>(engine.pending_prefill_tokens);
    const double queue = pending * query.unseen_load / tunables.prefill_tokens_per_ms;
    const double share = static_cast<double>(engine.running) / std::max(1U, engine.slots);
    const double crowd = share * query.unseen_load * tunables.full_engine_ms;
    const double unseen_zone = query.unseen_load > 1 ? tunables.unseen_zone_ms : 0.0;
    double cost = prefill_cost(query, engine, tunables) + queue + crowd;
    cost += interference_cost(query, engine, tunables);
    cost += engine.same_zone ? 0.0 : tunables.other_zone_ms + unseen_zone;
    cost += engine.connected ? 0.0 : tunables.connect_ms;
    cost += engine.outdated ? tunables.outdated_ms : 0.0;
    cost += engine.suspended ? tunables.suspended_ms : 0.0;
    return cost;
}

}  // namespace

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
