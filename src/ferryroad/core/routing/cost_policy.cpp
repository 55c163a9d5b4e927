#include "ferryroad/core/routing/cost_policy.hpp"

#include "ferryroad/core/routing/estimate.hpp"
#include "ferryroad/core/routing/rendezvous_order.hpp"

#include <algorithm>

namespace ferryroad::core::routing {

namespace {

/// @return position of the candidate that holds the longest match, the first among equals.
std::size_t longest_holder(const std::vector<candidate>& candidates) {
    const auto longest = std::max_element(candidates.begin(), candidates.end(),
                                          [](const candidate& left, const candidate& right) {
                                              return left.cached_pieces < right.cached_pieces;
                                          });
    return static_cast<std::size_t>(longest - candidates.begin());
}

/// Replaces prefill by import of what `available_pieces` has beyond the candidate's own,
/// where that is faster.
void weigh_import(const routing_query& query, std::uint32_t available_pieces,
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

/// @return prefill seconds spent on pieces that another candidate holds.
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

/// Adds up to `wanted` positions not yet in `weighed`, drawn without replacement.
void add_random(std::vector<bool>& weighed, std::size_t wanted, base::random_source& random) {
    std::vector<std::size_t> others;
    for (std::size_t position = 0; position < weighed.size(); ++position) {
        if (!weighed[position]) {
            others.push_back(position);
        }
    }
    for (std::size_t drawn = 0; drawn < wanted && drawn < others.size(); ++drawn) {
        const std::size_t other = drawn + random.below(others.size() - drawn);
        std::swap(others[drawn], others[other]);
        weighed[others[drawn]] = true;
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
    const std::vector<bool> selected = weighed_candidates(query, rendezvous, random);
    decision made = weigh(query, rendezvous, selected);
    if (made.expected_first_token > query.time_left && scope_ == candidate_scope::selected) {
        made = weigh(query, rendezvous, std::vector<bool>(query.candidates.size(), true));
    }
    return made;
}

decision cost_policy::weigh(const routing_query& query, const std::vector<bool>& rendezvous,
                            const std::vector<bool>& weighed) const {
    const std::size_t holder = longest_holder(query.candidates);
    const std::uint32_t available = query.candidates[holder].cached_pieces;
    const double price_above_time = std::max(query.recompute_price, 1.0) - 1.0;
    const auto better = [&query](const candidate_figures& left, const candidate_figures& right) {
        const bool left_in_time = first_token(left) <= query.time_left;
        const bool right_in_time = first_token(right) <= query.time_left;
        return left_in_time != right_in_time ? left_in_time : left.cost < right.cost;
    };

    decision made;
    for (std::size_t position = 0; position < query.candidates.size(); ++position) {
        if (!weighed[position]) {
            continue;
        }
        candidate_figures figures = estimate_figures(query, position);
        weigh_import(query, available, figures);
        const base::duration avoidable = avoidable_prefill(query, available, figures);
        const base::duration priced = avoidable + copy_cost(query, figures);
        figures.cost = first_token(figures) + scaled(priced, price_above_time);
        if (!rendezvous[position] && figures.cached_pieces == 0) {
            figures.cost += stray_penalty(query, position);
        }
        made.considered.push_back(figures);
    }
    const candidate_figures& best =
        *std::min_element(made.considered.begin(), made.considered.end(), better);
    made.chosen = best.candidate;
    made.expected_first_token = first_token(best);
    if (best.imported_pieces > 0) {
        made.import = import_plan{holder, best.cached_pieces + best.imported_pieces};
    }
    return made;
}

base::duration cost_policy::copy_cost(const routing_query& query,
                                      const candidate_figures& figures) const {
    const double tokens = 1.0 * figures.imported_pieces * query.piece_tokens;
    const double seconds = tokens / prefill_rate(query.candidates[figures.candidate]);
    return base::from_seconds(seconds * tunables_.copy_price);
}

base::duration cost_policy::stray_penalty(const routing_query& query, std::size_t position) const {
    const double piece_seconds = query.piece_tokens / prefill_rate(query.candidates[position]);
    return base::from_seconds(piece_seconds * tunables_.stray_penalty_pieces);
}

std::vector<bool> cost_policy::rendezvous_choices(const routing_query& query) const {
    std::vector<bool> chosen(query.candidates.size(), false);
    // Depths 1, 2, 4, ... pieces: every prompt that shares the first n pieces with another
    // shares at least half of these choices' depths with it.
    for (std::size_t depth = 1; depth <= query.pieces.size(); depth *= 2) {
        const auto order = rendezvous_order(query.candidates, query.pieces[depth - 1],
                                            tunables_.rendezvous_choices);
        for (const std::size_t position : order) {
            chosen[position] = true;
        }
    }
    return chosen;
}

std::vector<bool> cost_policy::weighed_candidates(const routing_query& query,
                                                  const std::vector<bool>& rendezvous,
                                                  base::random_source& random) const {
    if (scope_ == candidate_scope::all) {
        return std::vector<bool>(query.candidates.size(), true);
    }
    std::vector<bool> weighed = rendezvous;
    for (std::size_t position = 0; position < query.candidates.size(); ++position) {
        if (query.candidates[position].cached_pieces > 0) {
            weighed[position] = true;
        }
    }
    add_random(weighed, tunables_.random_choices, random);
    return weighed;
}

}  // namespace ferryroad::core::routing
