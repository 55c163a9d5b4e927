#include "ferryroad/relay/selection.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ferryroad::relay {

namespace placement = core::placement;

namespace {

/// Upper bound of the load factor for unseen routers: the load of a few routers says little about
/// a fleet that is many times as large.
constexpr double max_unseen_load_factor = 8;

/// Size of one event of a streamed answer: a piece of text with its framing.
constexpr double event_kb = 0.1;

/// @return the hash key of the prompt's home; nullopt if the prompt has no shared parts.
std::optional<std::uint64_t> home_key(const core::prefix::declared_prompt& prompt) {
    if (prompt.shared_parts() == 0) {
        return std::nullopt;
    }
    return base::hash_bytes(prompt.parts[prompt.shared_parts() - 1].id);
}

released_requests requests_of(const selection_query& query) {
    if (query.software) {
        return released_requests::continued;
    }
    return query.canary ? released_requests::canary : released_requests::current;
}

double answer_kb(std::uint64_t output_tokens) {
    return static_cast<double>(output_tokens) * event_kb;
}

}  // namespace

std::string cache_scope_of(const core::traffic::traffic_policy& policy,
                           const core::traffic::tenant* tenant, std::uint64_t version) {
    const bool isolated = tenant != nullptr && tenant->isolated;
    return (isolated ? "t-" + tenant->name.value : policy.shared_state_name()) + "/" +
           std::to_string(version);
}

bool engine_selection::may_serve(const known_engine& engine, const selection_query& query,
                                 base::monotonic_time now) const {
    if (engine.listed.pool != query.pool || engine.is_leaving() || engine.is_backing_off(now)) {
        return false;
    }
    if (!query.allows(engine.listed.software)) {
        return false;
    }
    const auto& excluded = query.excluded;
    if (std::find(excluded.begin(), excluded.end(), engine.listed.name) != excluded.end()) {
        return false;
    }
    if (!query.call.prompt) {
        return true;
    }
    const std::string& model = query.call.prompt->model;
    const auto by = begin_by(model, engine.version_of(model));
    return !by || now < *by;
}

bool engine_selection::has_engine_with(
    const base::pool_name& pool, const coordination::release::software_version& software) const {
    const engine_pool& members = m_registry.pool(pool);
    return std::any_of(members.begin(), members.end(), [&](const pool_member& one) {
        return one.engine->listed.software == software && !one.engine->is_leaving();
    });
}

std::optional<base::monotonic_time> engine_selection::backoff_end(
    const base::pool_name& pool,
    const std::optional<coordination::release::software_version>& software,
    base::monotonic_time now) const {
    std::optional<base::monotonic_time> first;
    for (const pool_member& one : m_registry.pool(pool)) {
        const known_engine& engine = *one.engine;
        if (engine.is_leaving() || (software && engine.listed.software != *software)) {
            continue;
        }
        if (!engine.is_backing_off(now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(engine.stated.backoff_until), engine.stated.backoff_until);
    }
    return first;
}

std::optional<base::monotonic_time> engine_selection::begin_by(const std::string& model,
                                                               std::uint64_t version) const {
    const auto outdated = m_policies.outdated_since(model, version);
    if (!outdated || !m_settings.outdated_limit) {
        return std::nullopt;
    }
    return *outdated + *m_settings.outdated_limit;
}

std::optional<base::monotonic_time> engine_selection::earliest_deadline() const {
    const auto confirmed_at = m_policies.confirmed_at();
    if (!confirmed_at || !m_settings.outdated_limit) {
        return std::nullopt;
    }
    return *confirmed_at + *m_settings.outdated_limit;
}

bool engine_selection::is_still_valid(const selected_engine& chosen, const selection_query& query,
                                      base::monotonic_time now) const {
    const known_engine* engine = m_registry.find(chosen.target.name);
    if (engine == nullptr || !may_serve(*engine, query, now)) {
        return false;
    }
    if (query.call.prompt &&
        engine->version_of(query.call.prompt->model) != chosen.expected_version) {
        // The engine would reject the expected version, and the state found for the selection
        // belongs to other weights.
        return false;
    }
    if (m_releases == nullptr) {
        return true;
    }
    // The set of canary engines changes periodically; an earlier choice stays valid for as long as
    // the trial lasts.
    const auto permitted = m_releases->permits(*engine, now);
    return permitted == coordination::release::permission::all ||
           ((chosen.canary || chosen.continued) &&
            permitted == coordination::release::permission::canary);
}

std::uint64_t engine_selection::scoped_prompt::held_by(const base::engine_name& holder) const {
    const auto found = std::lower_bound(
        holdings.begin(), holdings.end(), holder,
        [](const placement::holding& one, const auto& name) { return one.holder < name; });
    return found == holdings.end() || found->holder != holder ? 0 : found->tokens;
}

engine_selection::scoped_prompt engine_selection::make_scoped_prompt(
    const selection_query& query, std::uint64_t version, base::monotonic_time now) const {
    scoped_prompt prompt;
    prompt.scope = cache_scope_of(query.policy, query.tenant, version);
    prompt.parts = core::prefix::scoped_parts_of(*query.call.prompt, prompt.scope);
    prompt.holdings = m_warm.holdings(prompt.parts, now);
    std::erase_if(prompt.holdings, [&](const placement::holding& one) {
        return !has_scope_weights(one.holder, query.call.prompt->model, version, now);
    });
    const bool learns_of_weights = !m_learns_of_weights || m_learns_of_weights();
    prompt.may_use_stores =
        learns_of_weights && m_policies.is_newest(query.call.prompt->model, version);
    // The source may get newer weights while the request waits at the engine. It must then be
    // withdrawn before it fetches. A request that cannot be withdrawn fetches nothing while weights
    // are being replaced.
    prompt.may_fetch = learns_of_weights && (query.may_be_withdrawn || prompt.may_use_stores);
    if (prompt.may_fetch) {
        find_state_sources(query, prompt);
    }
    return prompt;
}

const engine_selection::scoped_prompt& engine_selection::prompt_under(
    std::uint64_t version, const selection_query& query, scoped_prompts& prompts,
    base::monotonic_time now) const {
    auto known = prompts.find(version);
    if (known == prompts.end()) {
        known = prompts.emplace(version, make_scoped_prompt(query, version, now)).first;
    }
    return known->second;
}

std::vector<const known_engine*> engine_selection::shortlisted_engines(
    const selection_query& query, scoped_prompts& prompts, base::monotonic_time now) const {
    const engine_pool& all = m_registry.pool(query.pool);
    const bool restricted = query.software || query.begin_at;
    engine_pool with_software;
    if (restricted) {
        std::copy_if(
            all.begin(), all.end(), std::back_inserter(with_software),
            [&](const pool_member& one) { return query.allows(one.engine->listed.software); });
    }
    const engine_pool& pool = restricted ? with_software : all;
    shortlist_keys keys;
    keys.request = base::hash_bytes(query.call.id.value);
    if (query.call.prompt) {
        keys.home = home_key(*query.call.prompt);
    }
    auto listed = shortlist(pool, keys, m_settings.shortlist);
    if (listed.size() == pool.size()) {
        return listed;
    }
    add_to_shortlist(listed, m_registry.recently_used(query.pool));
    if (query.call.prompt) {
        add_to_shortlist(listed, top_holders(listed, query, prompts, now));
    }
    return listed;
}

std::vector<const known_engine*> engine_selection::top_holders(
    const std::vector<const known_engine*>& listed, const selection_query& query,
    scoped_prompts& prompts, base::monotonic_time now) const {
    std::set<std::uint64_t> versions;
    for (const known_engine* one : listed) {
        versions.insert(one->version_of(query.call.prompt->model));
    }
    std::vector<const known_engine*> holders;
    for (const std::uint64_t version : versions) {
        std::vector<placement::holding> held = prompt_under(version, query, prompts, now).holdings;
        const std::size_t count = std::min(held.size(), m_settings.shortlist.holders);
        std::partial_sort(held.begin(), held.begin() + static_cast<std::ptrdiff_t>(count),
                          held.end(),
                          [](const auto& a, const auto& b) { return a.tokens > b.tokens; });
        held.resize(count);
        for (const placement::holding& one : held) {
            const known_engine* engine = m_registry.find(one.holder);
            if (engine != nullptr && engine->listed.pool == query.pool) {
                holders.push_back(engine);
            }
        }
    }
    return holders;
}

std::vector<engine_selection::eligible_engine> engine_selection::eligible_engines(
    const selection_query& query, scoped_prompts& prompts, base::monotonic_time now) const {
    const auto loads = m_loads.totals(now);
    const bool limits_rejections = m_registry.rejection_limit(query.pool).has_value();
    release_filter released(m_releases, requests_of(query), now);
    std::vector<eligible_engine> engines;
    for (const known_engine* listed : shortlisted_engines(query, prompts, now)) {
        const known_engine& engine = *listed;
        const bool lacks_permit = now < engine.paused_until ||
                                  (query.without_limit && engine.limit.per_second.has_value());
        if (lacks_permit || !may_serve(engine, query, now) || !released.allows(engine)) {
            continue;
        }
        const auto found = loads.find(engine.listed.name);
        const auto others = found == loads.end() ? placement::peer_load{} : found->second;
        const bool lacks_room =
            now < std::max(engine.full_until, engine.refuses_until) || others.refuses;
        if (limits_rejections && lacks_room) {
            continue;
        }
        eligible_engine one{&engine, others, nullptr, std::nullopt, std::nullopt};
        if (query.call.prompt) {
            const std::string& model = query.call.prompt->model;
            const std::uint64_t version = engine.version_of(model);
            one.outdated_since = m_policies.outdated_since(model, version);
            one.prompt = &prompt_under(version, query, prompts, now);
        }
        engines.push_back(one);
    }
    return engines;
}

placement::engine_candidate engine_selection::candidate_of(const eligible_engine& one,
                                                           const selection_query& query,
                                                           base::monotonic_time now) const {
    const known_engine& engine = *one.engine;
    placement::engine_candidate candidate;
    candidate.name = engine.listed.name;
    candidate.away = m_settings.zones.between(m_settings.zone, engine.listed.zone);
    candidate.path_ms = base::to_seconds(m_paths.excess_round_trip(engine.listed.zone, now)) * 1000;
    const bool is_loading = query.call.prompt ? engine.is_loading(query.call.prompt->model, now)
                                              : now < engine.loading_until;
    const bool refuses = now < engine.refuses_until || is_loading || one.others.refuses;
    candidate.suspended = engine.health.suspended(now) || refuses;
    candidate.connected = !m_is_connected || m_is_connected(engine.listed.address);
    candidate.running = engine.running + one.others.running;
    candidate.slots = engine.listed.slots;
    candidate.pending_prefill_tokens = engine.pending_prefill_tokens + one.others.prefill_tokens;
    if (one.prompt != nullptr) {
        const auto outdated = one.outdated_since;
        candidate.outdated = outdated && now - *outdated > m_settings.outdated_grace;
        candidate.warm_tokens = one.prompt->held_by(candidate.name);
        const std::uint64_t anywhere = one.prompt->everywhere.most_tokens_excluding(candidate.name);
        candidate.fetchable_tokens = anywhere;
        candidate.far_fetchable_tokens = anywhere;
        if (m_settings.zones.several_regions()) {
            const auto region = m_settings.zones.region_of(engine.listed.zone);
            const auto near =
                region ? one.prompt->by_region.find(*region) : one.prompt->by_region.end();
            candidate.fetchable_tokens = near == one.prompt->by_region.end()
                                             ? 0
                                             : near->second.most_tokens_excluding(candidate.name);
        }
    }
    return candidate;
}

placement::expected_work engine_selection::expected_work_at(
    const placement::engine_candidate& candidate, const placement::placement_query& placed,
    const selection_query& query) const {
    const std::uint64_t held = std::max(candidate.warm_tokens, candidate.fetchable_tokens);
    const std::uint64_t own = placed.input_tokens - std::min(held, placed.input_tokens);
    const double pending =
        static_cast<double>(candidate.pending_prefill_tokens) * placed.load_multiplier;
    placement::expected_work work;
    work.tokens_before = own + static_cast<std::uint64_t>(pending);
    work.output_tokens = query.call.prompt->output_tokens;
    return work;
}

const placement::begin_forecast& engine_selection::forecast_of(const base::pool_name& pool) const {
    static const placement::begin_forecast nothing_seen;
    const auto found = m_forecasts.find(pool);
    return found == m_forecasts.end() ? nothing_seen : found->second;
}

void engine_selection::remove_late_engines(const selection_query& query, base::monotonic_time now,
                                           std::vector<eligible_engine>& engines,
                                           placement::placement_query& placed) const {
    // Processing all of 1,200 engines takes 0.1 ms per selection; usually none is outdated.
    const bool some_outdated =
        std::any_of(engines.begin(), engines.end(),
                    [](const eligible_engine& one) { return one.outdated_since.has_value(); });
    if (!m_settings.outdated_limit || !some_outdated) {
        return;
    }
    const placement::begin_forecast& forecast = forecast_of(query.pool);
    std::vector<eligible_engine> timely;
    std::vector<placement::engine_candidate> candidates;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        eligible_engine& one = engines[index];
        placement::engine_candidate& candidate = placed.candidates[index];
        if (one.outdated_since) {
            one.limit = forecast.limit_for(expected_work_at(candidate, placed, query),
                                           *one.outdated_since + *m_settings.outdated_limit, now);
        }
        if (!one.outdated_since || one.limit) {
            timely.push_back(one);
            candidates.push_back(std::move(candidate));
        }
    }
    engines = std::move(timely);
    placed.candidates = std::move(candidates);
}

std::optional<base::monotonic_time> engine_selection::stop_by(const selection_query& query,
                                                              const eligible_engine& one,
                                                              const placement::expected_work& work,
                                                              base::monotonic_time now) const {
    if (one.limit) {
        return one.limit->ends_before ? std::optional(one.limit->begin_by) : std::nullopt;
    }
    // Newer weights may have been named right after the last confirmation, or may be named while
    // the request waits. While the policy's owner is unreachable nothing can be named, so running
    // requests need no deadline.
    const auto earliest = earliest_deadline();
    if (!earliest || !m_policies.refusals_valid(now)) {
        return std::nullopt;
    }
    const auto limit = forecast_of(query.pool).limit_for(work, *earliest, now);
    return limit && limit->ends_before ? earliest : std::nullopt;
}

/// All routers of a region compute the same home from the same list of engines, so that a prefix is
/// computed once when requests for it reach several routers at the same time.
const known_engine* engine_selection::mark_home(const std::vector<eligible_engine>& engines,
                                                const core::prefix::declared_prompt& prompt,
                                                placement::placement_query& placed) const {
    const auto key = home_key(prompt);
    if (!key) {
        return nullptr;
    }
    const auto may_be_home = [](const placement::engine_candidate& one) {
        return !one.suspended && !one.outdated;
    };
    const auto is_near = [](const placement::engine_candidate& one) {
        return one.away != core::topology::distance::other_region;
    };
    const auto near = static_cast<std::size_t>(
        std::count_if(placed.candidates.begin(), placed.candidates.end(),
                      [&](const auto& one) { return may_be_home(one) && is_near(one); }));
    const bool own_region = near >= m_settings.min_region_home_candidates;
    std::optional<std::size_t> home;
    std::uint64_t best = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const placement::engine_candidate& candidate = placed.candidates[index];
        const std::uint64_t score = rank_of(*key, base::hash_bytes(candidate.name.value));
        const bool counts = may_be_home(candidate) && (is_near(candidate) || !own_region);
        if (counts && (!home || score > best)) {
            home = index;
            best = score;
        }
    }
    if (!home) {
        return nullptr;
    }
    placed.candidates[*home].home = true;
    return engines[*home].engine;
}

void engine_selection::sample_candidates(const base::request_id& id,
                                         std::vector<eligible_engine>& engines,
                                         placement::placement_query& placed) const {
    if (engines.size() <= m_settings.sampling.engines) {
        return;
    }
    const std::uint64_t key = base::hash_bytes(id.value);
    std::vector<placement::drawable_engine> others;
    std::vector<std::size_t> kept;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const placement::engine_candidate& candidate = placed.candidates[index];
        const bool holds_all =
            placed.shared_tokens > 0 && candidate.warm_tokens >= placed.shared_tokens;
        if (candidate.home || holds_all) {
            kept.push_back(index);
            continue;
        }
        const std::uint64_t score = base::rendezvous_score(key, candidate.name.value);
        const bool far = candidate.away == core::topology::distance::other_region;
        others.push_back({index, score, !candidate.suspended, candidate.connected, far});
    }
    const auto sampled = placement::draw_engines(others, m_settings.sampling);
    kept.insert(kept.end(), sampled.begin(), sampled.end());
    std::vector<eligible_engine> remaining;
    std::vector<placement::engine_candidate> candidates;
    for (const std::size_t index : kept) {
        remaining.push_back(engines[index]);
        candidates.push_back(std::move(placed.candidates[index]));
    }
    engines = std::move(remaining);
    placed.candidates = std::move(candidates);
}

void engine_selection::expect_routers(std::size_t present, std::size_t heard) {
    const double multiple = static_cast<double>(present) / static_cast<double>(heard);
    m_unseen_load_factor = std::clamp(multiple, 1.0, max_unseen_load_factor);
}

std::optional<selected_engine> engine_selection::select(const selection_query& query,
                                                        base::monotonic_time now) {
    scoped_prompts prompts;
    std::vector<eligible_engine> engines = eligible_engines(query, prompts, now);
    placement::placement_query placed;
    placed.load_multiplier = m_unseen_load_factor;
    placed.all_holders_known = !m_knows_holders || m_knows_holders();
    const known_engine* home = nullptr;
    for (const eligible_engine& one : engines) {
        placed.candidates.push_back(candidate_of(one, query, now));
    }
    placed.transfer_kb = static_cast<double>(query.call.message.body.size()) / 1000;
    if (query.call.prompt) {
        placed.transfer_kb += answer_kb(query.call.prompt->output_tokens);
        placed.input_tokens = query.call.prompt->input_tokens;
        placed.shared_tokens = query.call.prompt->shared_tokens();
        placed.target_gap = query.target_gap;
        placed.gap_pressure = m_gap_pressures[query.pool].level();
        remove_late_engines(query, now, engines, placed);
        home = mark_home(engines, *query.call.prompt, placed);
    }
    sample_candidates(query.call.id, engines, placed);
    const auto choice = placement::choose_engine(placed, m_settings.placement);
    if (!choice) {
        return std::nullopt;
    }
    const eligible_engine& one = engines[choice->candidate];
    const placement::engine_candidate& candidate = placed.candidates[choice->candidate];
    selected_engine chosen;
    chosen.target = {one.engine->listed.name, one.engine->listed.address};
    chosen.software = one.engine->listed.software;
    chosen.canary = query.canary;
    chosen.may_be_withdrawn = query.may_be_withdrawn;
    chosen.continued = query.software.has_value();
    chosen.recorded_only = query.begin_at.has_value();
    chosen.cost_ms = choice->cost_ms;
    chosen.candidates = engines.size();
    chosen.running = candidate.running;
    chosen.slots = candidate.slots;
    chosen.pending_prefill_tokens = candidate.pending_prefill_tokens;
    chosen.warm_tokens = candidate.warm_tokens;
    chosen.zone = one.engine->listed.zone;
    chosen.away = candidate.away;
    chosen.path_ms = candidate.path_ms;
    const placement::shared_state_plan plan =
        placement::plan_shared_state(placed, candidate, m_settings.placement);
    chosen.fetchable_tokens =
        plan.from_far ? candidate.far_fetchable_tokens : candidate.fetchable_tokens;
    if (one.prompt != nullptr) {
        chosen.expected_version = one.engine->version_of(query.call.prompt->model);
        chosen.outdated_since = one.outdated_since;
        if (one.limit) {
            chosen.begin_by = one.limit->begin_by;
        }
        chosen.work = expected_work_at(candidate, placed, query);
        chosen.begin_bound = forecast_of(query.pool).begins_within(chosen.work.tokens_before);
        chosen.stop_by = stop_by(query, one, chosen.work, now);
        chosen.cache_scope = one.prompt->scope;
        const std::uint64_t held = std::max(chosen.warm_tokens, chosen.fetchable_tokens);
        chosen.prefill_tokens = placed.input_tokens - std::min(held, placed.input_tokens);
        add_state_terms(query, *one.prompt, plan.from_far, now, chosen);
        if (!placed.all_holders_known) {
            add_home_terms(query, *one.prompt, home, now, chosen);
        }
        limit_state_source(query, placed.input_tokens, chosen);
        set_transfer(query, plan.fetched_tokens, chosen);
    }
    return chosen;
}

std::vector<core::prefix::scoped_part> engine_selection::record_dispatch(
    const relay_call& call, const selected_engine& chosen, base::monotonic_time now) {
    if (!call.prompt || !chosen.cache_scope) {
        return {};
    }
    auto parts = core::prefix::scoped_parts_of(*call.prompt, *chosen.cache_scope);
    m_warm.expect(parts, chosen.target.name, now);
    return parts;
}

}  // namespace ferryroad::relay
