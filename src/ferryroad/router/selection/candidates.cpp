#include "ferryroad/router/selection/candidates.hpp"

#include "ferryroad/core/routing/estimate.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::selection {

namespace {

bool serves(const engine::load_report& load, const core::prefix::cache_namespace& scope) {
    const bool reported = !load.model.value.empty();
    if (scope.model.value.empty() || !reported) {
        return true;  // An application request, or not known yet: the engine itself checks.
    }
    const bool has_adapter =
        scope.adapter.value.empty() ||
        std::find(load.adapters.begin(), load.adapters.end(), scope.adapter) != load.adapters.end();
    return load.model == scope.model && load.version == scope.version && has_adapter;
}

/// @return prefill that other routers sent to the engine since its figures were true.
std::uint64_t sent_by_others(const engine_view& engine, const prefix_answer& knowledge,
                             base::duration figures_age) {
    const core::prefix::engine_process process{engine.target.name, engine.target.incarnation};
    std::uint64_t tokens = 0;
    for (const core::prefix::recent_dispatch& each : knowledge.dispatches) {
        const bool unreported = each.process == process && each.age < figures_age;
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
        engine.own_prefill_tokens_since + sent_by_others(engine, knowledge, load.age);

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
    core::routing::routing_query question;
    question.pieces = query.pieces;
    question.prompt_tokens = query.prompt_tokens;
    question.piece_tokens = query.piece_tokens;
    question.recompute_price = query.recompute_price;
    question.time_left = query.time_left;
    question.candidates.reserve(engines.size());
    for (const engine_view& engine : engines) {
        core::routing::candidate candidate = to_candidate(engine, knowledge, now);
        const core::prefix::engine_process present{candidate.engine, candidate.incarnation};
        const auto held =
            std::find_if(knowledge.holders.begin(), knowledge.holders.end(),
                         [&](const core::prefix::holder& each) { return each.process == present; });
        candidate.cached_pieces = held == knowledge.holders.end() ? 0 : held->pieces;
        question.candidates.push_back(std::move(candidate));
    }
    return question;
}

}  // namespace ferryroad::router::selection
