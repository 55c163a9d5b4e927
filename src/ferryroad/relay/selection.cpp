#include "ferryroad/relay/selection.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::relay {

namespace placement = core::placement;

std::string cache_scope_of(const core::traffic::tenant* tenant, std::uint64_t version) {
    const bool isolated = tenant != nullptr && tenant->isolated;
    return (isolated ? "t-" + tenant->name.value : std::string("shared")) + "/" +
           std::to_string(version);
}

bool engine_selection::may_serve(const known_engine& engine, const selection_query& query,
                                 base::monotonic_time now) const {
    if (engine.listed.pool != query.pool || engine.listed.leaving) {
        return false;
    }
    const auto& excluded = query.excluded;
    if (std::find(excluded.begin(), excluded.end(), engine.listed.name) != excluded.end()) {
        return false;
    }
    if (!query.call.prompt || !m_settings.outdated_limit) {
        return true;
    }
    const std::string& model = query.call.prompt->model;
    const auto outdated = m_policies.versions_of(model).outdated_since(engine.version_of(model));
    return !outdated || now - *outdated < *m_settings.outdated_limit;
}

std::vector<engine_selection::weighed> engine_selection::eligible(const selection_query& query,
                                                                  base::monotonic_time now) const {
    std::vector<weighed> engines;
    for (const auto& [name, engine] : m_registry.engines()) {
        if (!may_serve(engine, query, now)) {
            continue;
        }
        weighed one{&engine, {}};
        if (query.call.prompt) {
            const std::uint64_t version = engine.version_of(query.call.prompt->model);
            one.scope = cache_scope_of(query.tenant, version);
        }
        engines.push_back(std::move(one));
    }
    return engines;
}

placement::engine_candidate engine_selection::candidate_of(const weighed& one,
                                                           const selection_query& query,
                                                           base::monotonic_time now) const {
    const known_engine& engine = *one.engine;
    placement::engine_candidate candidate;
    candidate.name = engine.listed.name;
    candidate.same_zone = engine.listed.zone == m_settings.zone;
    candidate.suspended = engine.health.suspended(now) || now < engine.refuses_until;
    candidate.running = engine.running;
    candidate.slots = engine.listed.slots;
    candidate.pending_prefill_tokens = engine.pending_prefill_tokens;
    if (query.call.prompt) {
        const std::string& model = query.call.prompt->model;
        const auto outdated =
            m_policies.versions_of(model).outdated_since(engine.version_of(model));
        candidate.outdated = outdated && now - *outdated > m_settings.outdated_grace;
        const auto parts = core::prefix::scoped_parts_of(*query.call.prompt, one.scope);
        candidate.warm_tokens = m_warm.tokens_held(parts, candidate.name, now);
    }
    return candidate;
}

void engine_selection::mark_homes(const std::vector<weighed>& engines,
                                  const core::prefix::declared_prompt& prompt,
                                  placement::placement_query& placed) const {
    if (prompt.shared_parts() == 0) {
        return;
    }
    const std::uint64_t key = base::hash_bytes(prompt.parts[prompt.shared_parts() - 1].id);
    std::optional<std::size_t> home;
    std::uint64_t best = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const placement::engine_candidate& candidate = placed.candidates[index];
        const std::uint64_t score = base::rendezvous_score(key, candidate.name.value);
        if (candidate.same_zone && !candidate.suspended && (!home || score > best)) {
            home = index;
            best = score;
        }
    }
    if (home) {
        placed.candidates[*home].home = true;
    }
}

std::optional<selected_engine> engine_selection::select(const selection_query& query,
                                                        base::monotonic_time now) {
    const std::vector<weighed> engines = eligible(query, now);
    placement::placement_query placed;
    for (const weighed& one : engines) {
        placed.candidates.push_back(candidate_of(one, query, now));
    }
    if (query.call.prompt) {
        placed.input_tokens = query.call.prompt->input_tokens;
        placed.shared_tokens = query.call.prompt->shared_tokens();
        mark_homes(engines, *query.call.prompt, placed);
    }
    const auto choice = placement::choose_engine(placed, m_settings.placement);
    if (!choice) {
        return std::nullopt;
    }
    const weighed& one = engines[choice->candidate];
    selected_engine chosen;
    chosen.target = {one.engine->listed.name, one.engine->listed.address};
    chosen.cost_ms = choice->cost_ms;
    chosen.candidates = engines.size();
    chosen.warm_tokens = placed.candidates[choice->candidate].warm_tokens;
    if (query.call.prompt) {
        chosen.expected_version = one.engine->version_of(query.call.prompt->model);
        chosen.cache_scope = one.scope;
        chosen.prefill_tokens =
            placed.input_tokens - std::min(chosen.warm_tokens, placed.input_tokens);
        chosen.zone = one.engine->listed.zone;
        add_state_terms(query, placed, now, chosen);
    }
    return chosen;
}

void engine_selection::add_state_terms(const selection_query& query,
                                       const placement::placement_query& placed,
                                       base::monotonic_time now, selected_engine& chosen) const {
    const auto& stores = query.policy.declared().stores;
    const std::uint64_t shared = placed.shared_tokens;
    if (shared == 0) {
        return;
    }
    const auto parts = core::prefix::scoped_parts_of(*query.call.prompt, *chosen.cache_scope);
    std::uint64_t in_store = 0;
    if (!stores.empty()) {
        const core::traffic::state_store& store = stores.front();
        in_store = m_warm.tokens_held(parts, holder_of(store), now);
        chosen.fetch_state_from = store.address;
        chosen.save_state_to = store.address;
    }
    if (chosen.warm_tokens >= shared) {
        return;
    }
    const auto source = best_source(query, parts, chosen, now);
    if (source && source->tokens >= in_store && source->tokens > chosen.warm_tokens) {
        chosen.fetch_state_from = source->address;
    }
}

std::optional<engine_selection::state_source> engine_selection::best_source(
    const selection_query& query, const std::vector<core::prefix::scoped_part>& parts,
    const selected_engine& chosen, base::monotonic_time now) const {
    std::optional<state_source> best;
    for (const auto& [name, engine] : m_registry.engines()) {
        const bool sound = engine.listed.pool == query.pool && !engine.health.suspended(now) &&
                           name != chosen.target.name;
        if (!sound) {
            continue;
        }
        const std::uint64_t tokens = m_warm.tokens_held(parts, name, now);
        const bool near = engine.listed.zone == chosen.zone;
        const bool better = !best || std::pair(tokens, near) > std::pair(best->tokens, best->near);
        if (tokens > 0 && better) {
            best = state_source{engine.listed.address, tokens, near};
        }
    }
    return best;
}

void engine_selection::record_dispatch(const relay_call& call, const selected_engine& chosen,
                                       base::monotonic_time now) {
    if (call.prompt && chosen.cache_scope) {
        const auto parts = core::prefix::scoped_parts_of(*call.prompt, *chosen.cache_scope);
        m_warm.expect(parts, chosen.target.name, now);
    }
}

base::engine_name holder_of(const core::traffic::state_store& store) {
    return base::engine_name("store/" + store.address.to_string());
}

}  // namespace ferryroad::relay
