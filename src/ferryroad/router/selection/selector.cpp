#include "ferryroad/router/selection/selector.hpp"

#include "ferryroad/core/routing/estimate.hpp"
#include "ferryroad/router/selection/candidates.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::selection {

namespace {

/// @return the policy's estimates for the chosen candidate.
const core::routing::candidate_figures& chosen_figures(
    const core::routing::decision& policy_decision) {
    return *std::find_if(policy_decision.considered.begin(), policy_decision.considered.end(),
                         [&policy_decision](const core::routing::candidate_figures& each) {
                             return each.candidate == policy_decision.chosen;
                         });
}

core::routing::import_move to_import_move(const core::routing::routing_query& policy_query,
                                          const core::routing::decision& policy_decision) {
    return {policy_query.pieces[policy_decision.import->pieces - 1],
            policy_query.candidates[policy_decision.import->source].engine,
            policy_query.candidates[policy_decision.chosen].engine};
}

engine::import_request to_import_request(const selection_query& query,
                                         const core::routing::import_plan& plan,
                                         const engine::engine_target& source) {
    engine::import_request wanted;
    wanted.scope = query.scope;
    wanted.pieces.assign(query.pieces.begin(),
                         query.pieces.begin() + static_cast<std::ptrdiff_t>(plan.pieces));
    wanted.source = source;
    return wanted;
}

}  // namespace

selector::selector(engine_directory& directory, prefix_knowledge& knowledge,
                   std::unique_ptr<core::routing::policy> policy, runtime::scheduler& scheduler,
                   selection_tunables tunables)
    : directory_(directory),
      knowledge_(knowledge),
      policy_(std::move(policy)),
      scheduler_(scheduler),
      tunables_(tunables),
      imports_(tunables.import_limits),
      log_(tunables.max_logged_decisions) {}

runtime::task<runtime::result<selected_engine, selection_error>> selector::select(
    selection_query query) {
    const prefix_answer knowledge = co_await look_up(query);
    co_return decide(query, knowledge);
}

runtime::task<prefix_answer> selector::look_up(const selection_query& query) {
    if (query.pieces.empty()) {
        co_return prefix_answer{};
    }
    core::prefix::cache_namespace scope = query.scope;
    core::prefix::piece_chain pieces = query.pieces;
    co_return co_await knowledge_.lookup(std::move(scope), std::move(pieces));
}

runtime::result<selected_engine, selection_error> selector::decide(const selection_query& query,
                                                                   const prefix_answer& knowledge) {
    const auto engines = eligible_engines(directory_.available(query.pool), query);
    auto policy_query = to_routing_query(query, engines, knowledge, scheduler_.now());
    policy_query.import = tunables_.import;
    const auto policy_decision = choose(policy_query);
    if (!policy_decision) {
        return refuse_no_engine();
    }
    record_decision(query, policy_query, *policy_decision);
    if (policy_decision->expected_first_token > query.time_left) {
        if (policy_decision->import) {
            imports_.finish(to_import_move(policy_query, *policy_decision));
        }
        return refuse_deadline(policy_decision->expected_first_token - query.time_left);
    }
    const auto& figures = chosen_figures(*policy_decision);
    selected_engine selected;
    selected.target = engines[policy_decision->chosen].target;
    selected.expected_cached_pieces = figures.cached_pieces + figures.imported_pieces;
    selected.expected_first_token = policy_decision->expected_first_token;
    if (policy_decision->import) {
        selected.import = to_import_request(query, *policy_decision->import,
                                            engines[policy_decision->import->source].target);
    }
    if (!query.pieces.empty()) {
        knowledge_.report({query.scope,
                           query.pieces,
                           {selected.target.name, selected.target.incarnation},
                           core::prefix::evidence::dispatch,
                           static_cast<std::uint32_t>(core::routing::missing_tokens(
                               policy_query, selected.expected_cached_pieces))});
    }
    return selected;
}

std::optional<core::routing::decision> selector::choose(
    core::routing::routing_query& policy_query) {
    auto policy_decision = policy_->choose(policy_query, scheduler_.random());
    const bool import_refused =
        policy_decision && policy_decision->import &&
        !imports_.begin(to_import_move(policy_query, *policy_decision), scheduler_.now());
    if (import_refused) {
        policy_query.import.allowed = false;
        policy_decision = policy_->choose(policy_query, scheduler_.random());
    }
    return policy_decision;
}

selection_error selector::refuse_no_engine() {
    ++counters_.refused_no_engine;
    return {selection_failure::no_engine, tunables_.retry_after_no_engine};
}

selection_error selector::refuse_deadline(base::duration too_late_by) {
    ++counters_.refused_deadline;
    const auto retry_after =
        std::clamp(too_late_by, tunables_.shortest_retry_after, tunables_.longest_retry_after);
    return {selection_failure::deadline_too_near, retry_after};
}

void selector::record_started(const selection_query& query, const selected_engine& selected,
                              const engine::stream_started& started) {
    const auto whole_pieces = static_cast<std::uint32_t>(query.pieces.size());
    const std::uint32_t cached = std::min(started.cached_pieces, whole_pieces);
    const std::uint32_t expected = selected.expected_cached_pieces;
    counters_.pieces_total += whole_pieces;
    counters_.pieces_cached += cached;
    counters_.pieces_overestimated += expected > cached ? expected - cached : 0;
    counters_.pieces_underestimated += cached > expected ? cached - expected : 0;
    if (query.pieces.empty()) {
        return;
    }
    if (selected.import) {
        imports_.finish(
            {selected.import->pieces.back(), selected.import->source.name, selected.target.name});
    }
    knowledge_.report({query.scope,
                       query.pieces,
                       {selected.target.name, started.incarnation},
                       core::prefix::evidence::answer});
}

std::optional<decision_record> selector::explain(const base::request_id& request) const {
    return log_.find(request);
}

void selector::record_decision(const selection_query& query,
                               const core::routing::routing_query& policy_query,
                               const core::routing::decision& policy_decision) {
    ++counters_.decisions;
    decision_record record;
    record.request = query.request;
    record.pool = query.pool;
    record.policy = policy_->name();
    record.candidates.reserve(policy_decision.considered.size());
    for (const core::routing::candidate_figures& each : policy_decision.considered) {
        candidate_record candidate;
        candidate.engine = policy_query.candidates[each.candidate].engine;
        candidate.cached_pieces = each.cached_pieces;
        candidate.queue_wait = each.queue_wait;
        candidate.prefill = each.prefill;
        candidate.import = each.import;
        candidate.cost = each.cost;
        candidate.chosen = each.candidate == policy_decision.chosen;
        record.candidates.push_back(std::move(candidate));
    }
    log_.add(std::move(record));
}

}  // namespace ferryroad::router::selection
