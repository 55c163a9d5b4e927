#include "ferryroad/core/routing/cost_policy.hpp"

#include "ferryroad/core/routing/estimate.hpp"
#include "ferryroad/core/routing/rendezvous_order.hpp"

#include <algorithm>

namespace ferryroad::core::routing {

namespace {

/// @return the position of the candidate with the longest cached prefix, the first among equals.
std::size_t longest_holder(const std::vector<candidate>& candidates) {
    const auto longest = std::max_element(candidates.begin(), candidates.end(),
                                          [](const candidate& left, const candidate& right) {
                                              return left.cached_pieces < right.cached_pieces;
                                          });
    return static_cast<std::size_t>(longest - candidates.begin());
}

/// Replaces the prefill of the pieces that the candidate lacks, up to `available_pieces`, by an
/// import if that is faster.
void consider_import(const routing_query& query, std::uint32_t available_pieces,
                     candidate_figures& figures) {
    if (!query.import.allowed || available_pieces <= figures.cached_pieces) {
        return;
    }
    const candidate& engine = query.candidates[figures.candidate];
    const std::uint32_t moved = available_pieces - figures.cached_pieces;
    const base::duration import = query.import.fixed + query.import.per_piece * moved;
    const base::duration prefill = estimate_prefill(query, engine, available_pieces);
    if (import + prefill < figures.prefill) {
        figures.imported_pieces = moved;
        figures.import = import;
        figures.prefill = prefill;
    }
}

/// @return the prefill time spent on pieces that another candidate caches.
base::duration avoidable_prefill(const routing_query& query, std::uint32_t available_pieces,
                                 const candidate_figures& figures) {
    const std::uint32_t ready = figures.cached_pieces + figures.imported_pieces;
    if (available_pieces <= ready) {
        return {};
    }
    const candidate& engine = query.candidates[figures.candidate];
    return figures.prefill - estimate_prefill(query, engine, available_pieces);
}

base::duration scaled(base::duration time, double factor) {
    return base::from_seconds(base::to_seconds(time) * factor);
}

base::duration first_token(const candidate_figures& figures) {
    return figures.queue_wait + figures.import + figures.prefill;
}

/// Marks up to `wanted` further random positions in `evaluated`.
void add_random(std::vector<bool>& evaluated, std::size_t wanted, base::random_source& random) {
    std::vector<std::size_t> others;
    for (std::size_t position = 0; position < evaluated.size(); ++position) {
        if (!evaluated[position]) {
            others.push_back(position);
        }
    }
    for (std::size_t drawn = 0; drawn < wanted && drawn < others.size(); ++drawn) {
        const std::size_t other = drawn + random.below(others.size() - drawn);
        std::swap(others[drawn], others[other]);
        evaluated[others[drawn]] = true;
    }
}

}  // namespace

cost_policy::cost_policy(std::string_view reported_name, candidate_scope scope,
                         routing_tunables tunables)
    : name_(reported_name), scope_(scope), tunables_(tunables) {}

std::optional<decision> cost_policy::choose(const routing_query& query,
                                            base::random_source& random) {
    if (query.candidates.empty()) {
        return std::nullopt;
    }
    const std::vector<bool> rendezvous = rendezvous_choices(query);
    const std::vector<bool> selected = select_candidates(query, rendezvous, random);
    decision result = evaluate(query, rendezvous, selected);
    if (result.expected_first_token > query.time_left && scope_ == candidate_scope::selected) {
        result = evaluate(query, rendezvous, std::vector<bool>(query.candidates.size(), true));
    }
    return result;
}

decision cost_policy::evaluate(const routing_query& query, const std::vector<bool>& rendezvous,
                               const std::vector<bool>& evaluated) const {
    const std::size_t holder = longest_holder(query.candidates);
    const std::uint32_t available = query.candidates[holder].cached_pieces;
    const double price_above_time = std::max(query.recompute_price, 1.0) - 1.0;
    const auto better = [&query](const candidate_figures& left, const candidate_figures& right) {
        const bool left_in_time = first_token(left) <= query.time_left;
        const bool right_in_time = first_token(right) <= query.time_left;
        return left_in_time != right_in_time ? left_in_time : left.cost < right.cost;
    };

    decision result;
    for (std::size_t position = 0; position < query.candidates.size(); ++position) {
        if (!evaluated[position]) {
            continue;
        }
        candidate_figures figures = estimate_figures(query, position);
        consider_import(query, available, figures);
        const base::duration avoidable = avoidable_prefill(query, available, figures);
        const base::duration priced = avoidable + import_cost(query, figures);
        figures.cost = first_token(figures) + scaled(priced, price_above_time);
        if (!rendezvous[position] && figures.cached_pieces == 0) {
            figures.cost += off_order_penalty(query, position);
        }
        result.considered.push_back(figures);
    }
    const candidate_figures& best =
        *std::min_element(result.considered.begin(), result.considered.end(), better);
    result.chosen = best.candidate;
    result.expected_first_token = first_token(best);
    if (best.imported_pieces > 0) {
        result.import = import_plan{holder, best.cached_pieces + best.imported_pieces};
    }
    return result;
}

base::duration cost_policy::import_cost(const routing_query& query,
                                        const candidate_figures& figures) const {
    const double tokens = 1.0 * figures.imported_pieces * query.piece_tokens;
    const double seconds = tokens / prefill_rate(query.candidates[figures.candidate]);
    return base::from_seconds(seconds * tunables_.import_price);
}

base::duration cost_policy::off_order_penalty(const routing_query& query,
                                              std::size_t position) const {
    const double piece_seconds = query.piece_tokens / prefill_rate(query.candidates[position]);
    return base::from_seconds(piece_seconds * tunables_.off_order_penalty_pieces);
}

std::vector<bool> cost_policy::rendezvous_choices(const routing_query& query) const {
    std::vector<bool> chosen(query.candidates.size(), false);
    // Depths 1, 2, 4, ... pieces: two prompts that share the first n pieces have the choices at all
    // of these depths up to n in common.
    for (std::size_t depth = 1; depth <= query.pieces.size(); depth *= 2) {
        const auto order = rendezvous_order(query.candidates, query.pieces[depth - 1],
                                            tunables_.rendezvous_choices);
        for (const std::size_t position : order) {
            chosen[position] = true;
        }
    }
    return chosen;
}

std::vector<bool> cost_policy::select_candidates(const routing_query& query,
                                                 const std::vector<bool>& rendezvous,
                                                 base::random_source& random) const {
    if (scope_ == candidate_scope::all) {
        return std::vector<bool>(query.candidates.size(), true);
    }
    std::vector<bool> evaluated = rendezvous;
    for (std::size_t position = 0; position < query.candidates.size(); ++position) {
        if (query.candidates[position].cached_pieces > 0) {
            evaluated[position] = true;
        }
    }
    add_random(evaluated, tunables_.random_choices, random);
    return evaluated;
}

}  // namespace ferryroad::core::routing
