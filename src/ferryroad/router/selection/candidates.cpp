#include "ferryroad/router/selection/candidates.hpp"

#include "ferryroad/core/routing/estimate.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::selection {

namespace {

bool serves(const engine::load_report& load, const core::prefix::cache_namespace& scope) {
    const bool reported = !load.model.value.empty();
    if (scope.model.value.empty() || !reported) {
        // An application request, or the engine's model is not known yet: the engine checks.
        return true;
    }
    const bool has_adapter =
        scope.adapter.value.empty() ||
        std::find(load.adapters.begin(), load.adapters.end(), scope.adapter) != load.adapters.end();
    return load.model == scope.model && load.version == scope.version && has_adapter;
}

/// @return prefill tokens that other routers sent to the engine and that its load report, which
/// is `report_age` old, doesn't include yet.
std::uint64_t tokens_from_other_routers(const engine_view& engine, const prefix_answer& knowledge,
                                        base::duration report_age) {
    const core::prefix::engine_process process{engine.target.name, engine.target.incarnation};
    std::uint64_t tokens = 0;
    for (const core::prefix::recent_dispatch& each : knowledge.dispatches) {
        const bool unreported = each.process == process && each.age < report_age;
        tokens += unreported ? each.prefill_tokens : 0;
    }
    return tokens;
}

core::routing::candidate to_candidate(const engine_view& engine, const prefix_answer& knowledge,
                                      base::monotonic_time now) {
    core::routing::reported_load load;
    load.queued_prefill_tokens = engine.load.queued_prefill_tokens;
    load.prefill_tokens_per_second = engine.load.prefill_tokens_per_second;
    load.age = now - engine.reported_at + engine.load.age;
    load.prefill_tokens_since =
        engine.own_prefill_tokens_since + tokens_from_other_routers(engine, knowledge, load.age);

    core::routing::candidate candidate;
    candidate.engine = engine.target.name;
    candidate.incarnation = engine.target.incarnation;
    candidate.queue_wait = core::routing::estimate_queue_wait(load);
    candidate.prefill_tokens_per_second = engine.load.prefill_tokens_per_second;
    candidate.outstanding = engine.load.running + engine.load.queued + engine.own_requests_since;
    return candidate;
}

}  // namespace

std::vector<engine_view> eligible_engines(std::vector<engine_view> engines,
                                          const selection_query& query) {
    std::erase_if(engines, [&query](const engine_view& engine) {
        const bool excluded = std::find(query.excluded.begin(), query.excluded.end(),
                                        engine.target.name) != query.excluded.end();
        return excluded || engine.load.role == engine::engine_role::decode ||
               !serves(engine.load, query.scope);
    });
    return engines;
}

core::routing::routing_query to_routing_query(const selection_query& query,
                                              const std::vector<engine_view>& engines,
                                              const prefix_answer& knowledge,
                                              base::monotonic_time now) {
    core::routing::routing_query policy_query;
    policy_query.pieces = query.pieces;
    policy_query.prompt_tokens = query.prompt_tokens;
    policy_query.piece_tokens = query.piece_tokens;
    policy_query.recompute_price = query.recompute_price;
    policy_query.time_left = query.time_left;
    policy_query.candidates.reserve(engines.size());
    for (const engine_view& engine : engines) {
        core::routing::candidate candidate = to_candidate(engine, knowledge, now);
        const core::prefix::engine_process current_process{candidate.engine, candidate.incarnation};
        const auto current_holder = std::find_if(
            knowledge.holders.begin(), knowledge.holders.end(),
            [&](const core::prefix::holder& each) { return each.process == current_process; });
        candidate.cached_pieces =
            current_holder == knowledge.holders.end() ? 0 : current_holder->pieces;
        policy_query.candidates.push_back(std::move(candidate));
    }
    return policy_query;
}

}  // namespace ferryroad::router::selection
