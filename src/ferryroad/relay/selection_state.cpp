/// @file
/// The part of engine selection that decides from where a request fetches cached state, and where
/// it is stored.
#include "ferryroad/core/placement/state_stores.hpp"
#include "ferryroad/relay/selection.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace ferryroad::relay {

namespace placement = core::placement;

namespace {

/// An engine is announced at least 150 ms before it is ordered to load weights, and loading takes
/// longer than that. A request that is to fetch state from it is withdrawn within this time.
constexpr base::duration source_check_period = std::chrono::milliseconds(100);

/// A request that cannot be withdrawn fetches state only if it is expected to begin within this
/// time. An engine needs longer from the naming of newer weights until it has loaded them.
constexpr base::duration longest_unattended_wait = std::chrono::milliseconds(500);

}  // namespace

void engine_selection::state_sources::add(const placement::holding& one) {
    if (one.tokens > most_tokens) {
        second_tokens = most_tokens;
        most_tokens = one.tokens;
        best = one.holder;
    } else {
        second_tokens = std::max(second_tokens, one.tokens);
    }
}

std::optional<base::zone_name> engine_selection::zone_of(const selection_query& query,
                                                         const base::engine_name& holder) const {
    if (const known_engine* engine = m_registry.find(holder)) {
        return engine->listed.zone;
    }
    for (const core::traffic::state_store& store : query.policy.declared().stores) {
        if (holder_name_of(store) == holder) {
            return store.zone;
        }
    }
    return std::nullopt;
}

bool engine_selection::has_scope_weights(const base::engine_name& holder, const std::string& model,
                                         std::uint64_t version, base::monotonic_time now) const {
    const known_engine* engine = m_registry.find(holder);
    if (engine == nullptr) {
        return m_policies.is_newest(model, version);
    }
    return engine->version_of(model) == version && !engine->is_loading(model, now);
}

bool engine_selection::would_fetch_outdated_state(const selected_engine& chosen,
                                                  const relay_call& call,
                                                  base::monotonic_time now) const {
    return chosen.fetch_state_from &&
           !has_scope_weights(chosen.fetched_state_holder, call.prompt->model,
                              chosen.expected_version.value_or(0), now);
}

bool engine_selection::would_save_outdated_state(const selected_engine& chosen,
                                                 const relay_call& call,
                                                 base::monotonic_time now) const {
    return chosen.save_state_to && !has_scope_weights(chosen.target.name, call.prompt->model,
                                                      chosen.expected_version.value_or(0), now);
}

bool engine_selection::would_fetch_outdated_state_again(const selected_engine& chosen,
                                                        const relay_call& call,
                                                        base::monotonic_time now) const {
    // A store counts as right: no engine loads while requests that store state may still run there.
    const bool from_engine = m_registry.find(chosen.fetched_state_holder) != nullptr;
    return from_engine && would_fetch_outdated_state(chosen, call, now) &&
           has_scope_weights(chosen.target.name, call.prompt->model,
                             chosen.expected_version.value_or(0), now);
}

std::optional<base::monotonic_time> engine_selection::next_state_check(
    const selected_engine& chosen, const relay_call& call, base::monotonic_time now) const {
    const bool is_being_replaced =
        (chosen.fetch_state_from || chosen.save_state_to) &&
        !m_policies.is_newest(call.prompt->model, chosen.expected_version.value_or(0));
    return is_being_replaced ? std::optional(now + source_check_period) : std::nullopt;
}

void engine_selection::find_state_sources(const selection_query& query,
                                          scoped_prompt& prompt) const {
    for (const placement::holding& one : prompt.holdings) {
        if (!one.confirmed) {
            continue;
        }
        prompt.everywhere.add(one);
        const auto zone =
            m_settings.zones.several_regions() ? zone_of(query, one.holder) : std::nullopt;
        const auto region = zone ? m_settings.zones.region_of(*zone) : std::nullopt;
        if (region) {
            prompt.by_region[*region].add(one);
        }
    }
}

bool engine_selection::cross_region_fetch_pays_off() const {
    const placement::placement_tunables& costs = m_settings.placement;
    return costs.fetch_token_ms * costs.far_fetch_factor <
           costs.avoidable_recompute_factor / costs.prefill_tokens_per_ms;
}

void engine_selection::add_state_terms(const selection_query& query, const scoped_prompt& prompt,
                                       bool cross_region, base::monotonic_time now,
                                       selected_engine& chosen) const {
    const core::prefix::declared_prompt& declared = *query.call.prompt;
    const std::uint64_t shared = declared.shared_tokens();
    if (shared == 0) {
        return;
    }
    const std::uint64_t in_store =
        prompt.may_use_stores ? add_store_terms(query, prompt, cross_region, chosen) : 0;
    if (!prompt.may_fetch || chosen.warm_tokens >= shared) {
        return;
    }
    const known_engine* source = best_source(query, prompt, cross_region, chosen, now);
    const std::uint64_t at_source = source == nullptr ? 0 : prompt.held_by(source->listed.name);
    if (at_source >= in_store && at_source > chosen.warm_tokens) {
        set_state_source(*source, chosen);
    }
}

void engine_selection::set_state_source(const known_engine& source, selected_engine& chosen) {
    chosen.fetch_state_from = source.listed.address;
    chosen.fetched_state_holder = source.listed.name;
    chosen.fetched_state_zone = source.listed.zone;
}

void engine_selection::limit_state_source(const selection_query& query, std::uint64_t input_tokens,
                                          selected_engine& chosen) const {
    if (query.may_be_withdrawn) {
        return;
    }
    // After a failed attempt the expected wait is not relied on.
    const bool may_wait_long =
        query.was_sent_before || chosen.begin_bound > longest_unattended_wait;
    const bool is_small = chosen.fetchable_tokens < placement::least_pinned_tokens &&
                          m_registry.find(chosen.fetched_state_holder) != nullptr;
    if (!may_wait_long && !is_small) {
        return;
    }
    chosen.fetch_state_from.reset();
    chosen.fetchable_tokens = 0;
    chosen.prefill_tokens = input_tokens - std::min(chosen.warm_tokens, input_tokens);
}

bool engine_selection::may_provide_state(const known_engine& engine, const selection_query& query,
                                         base::monotonic_time now) const {
    return engine.listed.pool == query.pool && !engine.health.suspended(now) &&
           (m_releases == nullptr || m_releases->is_state_source(engine, now));
}

void engine_selection::add_home_terms(const selection_query& query, const scoped_prompt& prompt,
                                      const known_engine* home, base::monotonic_time now,
                                      selected_engine& chosen) const {
    const std::uint64_t shared = query.call.prompt->shared_tokens();
    const bool knows_enough = std::max(chosen.warm_tokens, prompt.everywhere.most_tokens) >= shared;
    if (!prompt.may_fetch || home == nullptr || home->listed.name == chosen.target.name ||
        knows_enough) {
        return;
    }
    const bool same_weights = has_scope_weights(home->listed.name, query.call.prompt->model,
                                                chosen.expected_version.value_or(0), now);
    if (same_weights && may_provide_state(*home, query, now)) {
        set_state_source(*home, chosen);
    }
}

void engine_selection::set_transfer(const selection_query& query, std::uint64_t tokens,
                                    selected_engine& chosen) const {
    const core::traffic::pool* pool = query.policy.find_pool(query.pool);
    if (!chosen.fetch_state_from || pool == nullptr || !pool->model) {
        return;
    }
    chosen.moved_bytes = static_cast<double>(tokens) * pool->model->kv_token_bytes;
    chosen.moved_distance = m_settings.zones.between(chosen.fetched_state_zone, chosen.zone);
}

std::vector<core::traffic::state_store> engine_selection::stores_for(
    const selection_query& query, bool cross_region, const base::zone_name& zone) const {
    const auto& all = query.policy.declared().stores;
    std::vector<core::traffic::state_store> near;
    std::copy_if(all.begin(), all.end(), std::back_inserter(near),
                 [&](const auto& store) { return same_region(store.zone, zone); });
    const bool far_counts = cross_region || (near.empty() && cross_region_fetch_pays_off());
    return far_counts ? all : near;
}

std::uint64_t engine_selection::add_store_terms(const selection_query& query,
                                                const scoped_prompt& prompt, bool cross_region,
                                                selected_engine& chosen) const {
    const core::prefix::declared_prompt& declared = *query.call.prompt;
    const auto stores = stores_for(query, cross_region, chosen.zone);
    const core::traffic::state_store* home = placement::select_store(stores, declared);
    if (home == nullptr) {
        return 0;
    }
    const core::traffic::state_store* source = home;
    std::uint64_t most = prompt.held_by(holder_name_of(*home));
    for (const core::traffic::state_store& store : stores) {
        const std::uint64_t held = prompt.held_by(holder_name_of(store));
        if (held > most) {
            most = held;
            source = &store;
        }
    }
    if (prompt.may_fetch) {
        chosen.fetch_state_from = source->address;
        chosen.fetched_state_holder = holder_name_of(*source);
        chosen.fetched_state_zone = source->zone;
    }
    placement::prompt_prefill reading;
    reading.shared = declared.shared_tokens();
    reading.held = std::max({chosen.warm_tokens, chosen.fetchable_tokens, most});
    reading.own = declared.input_tokens - std::min(reading.shared, declared.input_tokens);
    reading.pinned = !query.may_be_withdrawn;
    if (placement::is_worth_saving(reading)) {
        chosen.save_state_to = home->address;
    }
    return most;
}

const known_engine* engine_selection::best_source(const selection_query& query,
                                                  const scoped_prompt& prompt, bool cross_region,
                                                  const selected_engine& chosen,
                                                  base::monotonic_time now) const {
    const known_engine* best = nullptr;
    std::tuple<std::uint64_t, core::topology::distance> best_rank;
    for (const placement::holding& held : prompt.holdings) {
        const known_engine* engine = m_registry.find(held.holder);
        const bool is_usable = engine != nullptr && may_provide_state(*engine, query, now) &&
                               held.confirmed && held.holder != chosen.target.name;
        if (!is_usable || !(cross_region || same_region(engine->listed.zone, chosen.zone))) {
            continue;
        }
        const auto away = m_settings.zones.between(engine->listed.zone, chosen.zone);
        const bool is_better =
            best == nullptr || held.tokens > std::get<0>(best_rank) ||
            (held.tokens == std::get<0>(best_rank) && away < std::get<1>(best_rank));
        if (is_better) {
            best = engine;
            best_rank = {held.tokens, away};
        }
    }
    return best;
}

base::engine_name holder_name_of(const core::traffic::state_store& store) {
    return base::engine_name("store/" + store.address.to_string());
}

}  // namespace ferryroad::relay
