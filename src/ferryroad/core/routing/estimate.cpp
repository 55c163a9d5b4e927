#include "ferryroad/core/routing/estimate.hpp"

#include "ferryroad/core/routing/tunables.hpp"

#include <algorithm>

namespace ferryroad::core::routing {

namespace {

double rate_or_default(double tokens_per_second) {
    return tokens_per_second > 0 ? tokens_per_second
                                 : default_routing_tunables.default_prefill_tokens_per_second;
}

}  // namespace

base::duration estimate_queue_wait(const reported_load& load) {
    const double rate = rate_or_default(load.prefill_tokens_per_second);
    const double reported_seconds = static_cast<double>(load.queued_prefill_tokens) / rate;
    const double left_seconds = std::max(0.0, reported_seconds - base::to_seconds(load.age));
    const double sent_seconds = static_cast<double>(load.prefill_tokens_since) / rate;
    return base::from_seconds(left_seconds + sent_seconds);
}

double prefill_rate(const candidate& engine) {
    return rate_or_default(engine.prefill_tokens_per_second);
}

std::uint64_t missing_tokens(const routing_query& query, std::uint32_t ready_pieces) {
    const std::uint64_t ready = std::uint64_t{ready_pieces} * query.piece_tokens;
    return query.prompt_tokens - std::min(query.prompt_tokens, ready);
}

base::duration estimate_prefill(const routing_query& query, const candidate& engine,
                                std::uint32_t ready_pieces) {
    const auto tokens = static_cast<double>(missing_tokens(query, ready_pieces));
    return base::from_seconds(tokens / prefill_rate(engine));
}

candidate_figures estimate_figures(const routing_query& query, std::size_t position) {
    const candidate& engine = query.candidates[position];
    candidate_figures figures;
    figures.candidate = position;
    figures.cached_pieces = engine.cached_pieces;
    figures.queue_wait = engine.queue_wait;
    figures.prefill = estimate_prefill(query, engine, engine.cached_pieces);
    figures.cost = figures.queue_wait + figures.prefill;
    return figures;
}

decision decide_without_import(const routing_query& query, std::size_t position) {
    decision result;
    result.chosen = position;
    result.considered.push_back(estimate_figures(query, position));
    result.expected_first_token = result.considered.front().cost;
    return result;
}

}  // namespace ferryroad::core::routing
