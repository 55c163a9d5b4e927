/// @file
/// Selects the engine for a request. Builds a query for `core/placement` from the engine registry,
/// the named weight versions and the cached KV state, and turns the result into the parameters of a
/// dispatch.
#pragma once

#include "ferryroad/core/placement/begin_forecast.hpp"
#include "ferryroad/core/placement/engine_draw.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/placement/gap_pressure.hpp"
#include "ferryroad/core/placement/placement.hpp"
#include "ferryroad/core/placement/warm_state.hpp"
#include "ferryroad/core/topology/zone_latency_estimator.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/core/traffic/traffic_policy.hpp"
#include "ferryroad/relay/canary_traffic.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/engine_shortlist.hpp"
#include "ferryroad/relay/policy_source.hpp"
#include "ferryroad/relay/types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ferryroad::relay {

struct selection_settings {
    base::zone_name zone;
    core::topology::zone_map zones;  ///< Maps zones to regions.
    core::placement::placement_tunables placement;
    /// How long after newer weights were named requests may still begin at an engine with older
    /// ones; nullopt for no limit.
    std::optional<base::duration> outdated_limit;
    /// How long after newer weights were named older ones are placed without a penalty. Afterwards
    /// engines with the newest weights are preferred.
    base::duration outdated_grace{};
    /// Preselection of engines in a large pool.
    shortlist_limits shortlist;
    /// How many engines that lack some of the prompt's shared state are passed to placement.
    core::placement::draw_limits sampling;
    /// Minimum number of usable engines (not suspended, not outdated) in the router's region for a
    /// prompt's home to be chosen within that region only.
    std::size_t min_region_home_candidates = 2;
};

/// A request to be placed.
struct selection_query {
    const relay_call& call;
    const core::traffic::traffic_policy& policy;
    base::pool_name pool;
    const core::traffic::tenant* tenant = nullptr;
    std::vector<base::engine_name> excluded;
    base::duration target_gap{};  ///< The route's target for the time between stream events.
    bool canary = false;          ///< Restricted to engines that run the canary version.
    bool without_limit = false;   ///< Restricted to engines without a request limit.
    /// The request may be withdrawn while it waits at the engine, and sent to another one.
    bool may_be_withdrawn = true;
    bool was_sent_before = false;  ///< An earlier attempt at another engine failed.
    /// Restricted to engines with this software: it began the stream that the request continues.
    std::optional<coordination::release::software_version> software;
    /// If set, restricted to engines with one of these: a stream may begin at no other.
    std::optional<std::set<coordination::release::software_version>> begin_at;

    /// @return whether engines with this software may get the request.
    bool allows(const coordination::release::software_version& version) const {
        return software ? version == *software : !begin_at || begin_at->contains(version);
    }
};

struct selected_engine {
    engine_target target;
    base::zone_name zone;
    coordination::release::software_version software;
    std::optional<std::uint64_t> expected_version;
    /// Earliest time at which weights newer than the engine's may have been named; nullopt if the
    /// engine has the newest.
    std::optional<base::monotonic_time> outdated_since;
    /// Deadline for the request to begin at the engine; nullopt if there is none.
    std::optional<base::monotonic_time> begin_by;
    /// Deadline that may be sent to the engine: the whole answer is expected before it, and the
    /// engine will not begin the request after it. Nullopt if no such deadline applies.
    std::optional<base::monotonic_time> stop_by;
    core::placement::expected_work work;
    /// Upper bound on the expected time from sending the request until it begins, from the history
    /// of similar requests.
    base::duration begin_bound{};
    std::optional<std::string> cache_scope;
    std::optional<base::endpoint> fetch_state_from;
    base::engine_name fetched_state_holder;  ///< Engine or store at `fetch_state_from`.
    base::zone_name fetched_state_zone;      ///< Its zone.
    std::optional<base::endpoint> save_state_to;
    bool may_be_withdrawn = true;   ///< See `selection_query`.
    std::uint64_t warm_tokens = 0;  ///< Prompt tokens expected in the engine's KV cache.
    /// Prompt tokens expected in another KV cache that are worth fetching.
    std::uint64_t fetchable_tokens = 0;
    core::topology::distance away = core::topology::distance::same_zone;
    double path_ms = 0;                ///< Network latency in excess of that within the own zone.
    std::uint64_t prefill_tokens = 0;  ///< Prompt tokens that the engine is expected to compute.
    double moved_bytes = 0;            ///< Estimated size of the fetched KV state.
    core::topology::distance moved_distance = core::topology::distance::same_zone;
    bool canary = false;     ///< The request was selected for the canary version.
    bool continued = false;  ///< The request continues a stream at this engine's software version.
    bool recorded_only = false;  ///< Engines of unrecorded software versions were left out.
    double cost_ms = 0;
    std::size_t candidates = 0;
    std::uint32_t running = 0;  ///< Requests at the engine, as far as this router knows.
    std::uint32_t slots = 1;
    /// Prompt tokens of those requests whose answer has not begun.
    std::uint64_t pending_prefill_tokens = 0;
};

/// Selects engines and keeps the statistics that selection depends on. Must be used on the event
/// loop's thread. The objects passed to the constructor must outlive it.
class engine_selection {
  public:
    engine_selection(engine_registry& registry, const policy_source& policies,
                     core::placement::warm_state& warm,
                     const core::placement::engine_load_view& loads, selection_settings settings)
        : m_registry(registry),
          m_policies(policies),
          m_warm(warm),
          m_loads(loads),
          m_settings(std::move(settings)),
          m_paths(m_settings.zone, m_settings.zones) {}

    void change_settings(selection_settings settings) { m_settings = std::move(settings); }
    /// From now on, engines get only the requests that the release state of their software allows.
    /// @param releases must outlive this object.
    void set_releases(const canary_traffic& releases) { m_releases = &releases; }
    /// @param is_connected whether an idle connection to an engine is open. If not set, all engines
    /// count as connected.
    void set_connection_check(std::function<bool(const base::endpoint&)> is_connected) {
        m_is_connected = std::move(is_connected);
    }

    /// @param all_holders_known whether the cached state of all engines is followed. If not set, it
    /// is taken to be.
    void set_holders_known_check(std::function<bool()> all_holders_known) {
        m_knows_holders = std::move(all_holders_known);
    }

    /// @param learns_of_weights whether this router learns without delay that newer weights are
    /// named or loaded. If not set, it is taken to; while it does not, no state is exchanged.
    void set_weights_notice_check(std::function<bool()> learns_of_weights) {
        m_learns_of_weights = std::move(learns_of_weights);
    }

    /// Scales the known load of each engine: routers whose load isn't received are assumed to load
    /// the engines as much as those whose load is.
    /// @param present number of all routers.
    /// @param heard number of routers whose load is received, at least 1.
    void expect_routers(std::size_t present, std::size_t heard);

    /// Records the latency to a zone.
    /// @param took time until an engine of the zone began its answer to a request without a prompt.
    void record_path_latency(const base::zone_name& zone, base::duration took,
                             base::monotonic_time now) {
        m_paths.record(zone, took, now);
    }

    /// @return the selected engine; nullopt if no engine may get the request now.
    std::optional<selected_engine> select(const selection_query& query, base::monotonic_time now);
    /// @return whether an engine of the pool with this software is listed and not leaving.
    bool has_engine_with(const base::pool_name& pool,
                         const coordination::release::software_version& software) const;
    /// @param software restricts the engines to those with this software.
    /// @return when the first engine of the pool takes requests again; nothing if one does at
    /// present, or none is listed.
    std::optional<base::monotonic_time> backoff_end(
        const base::pool_name& pool,
        const std::optional<coordination::release::software_version>& software,
        base::monotonic_time now) const;
    /// Checks a selection again after some time has passed. Load and cost are not recomputed.
    /// @param chosen selected for the same query.
    /// @return whether its engine may still get the request.
    bool is_still_valid(const selected_engine& chosen, const selection_query& query,
                        base::monotonic_time now) const;
    /// Records that the engine computes the prompt of a dispatch and is expected to hold the
    /// prompt's parts in its KV cache.
    /// @return these parts.
    std::vector<core::prefix::scoped_part> record_dispatch(const relay_call& call,
                                                           const selected_engine& chosen,
                                                           base::monotonic_time now);

    /// Records the longest gap between events of a stream that ended.
    /// @param target the route's target gap; 0 if it has none, then nothing is recorded.
    void record_gap(const base::pool_name& pool, base::duration longest, base::duration target) {
        if (target > base::duration{}) {
            m_gap_pressures[pool].record(longest, target);
        }
    }

    /// @return whether the request should not begin at the selected engine because the state that
    /// it would fetch there may have been computed with other weights.
    bool would_fetch_outdated_state(const selected_engine& chosen, const relay_call& call,
                                    base::monotonic_time now) const;
    /// @return whether a request that runs at the selected engine may store state there of other
    /// weights than those of its cache scope: the engine has loaded them or is about to.
    bool would_save_outdated_state(const selected_engine& chosen, const relay_call& call,
                                   base::monotonic_time now) const;
    /// @return whether a request that runs at the selected engine, and reads its prompt again after
    /// a preemption, may fetch state of other weights than those that the engine has: its source is
    /// an engine that has loaded them or is about to.
    bool would_fetch_outdated_state_again(const selected_engine& chosen, const relay_call& call,
                                          base::monotonic_time now) const;
    /// @return when to check the state that the request fetches or stores next without further
    /// notice; nullopt if the naming of newer weights is awaited.
    std::optional<base::monotonic_time> next_state_check(const selected_engine& chosen,
                                                         const relay_call& call,
                                                         base::monotonic_time now) const;

    /// @return the deadline for requests to begin with weights of `version`, given the versions
    /// named so far; nullopt if `version` is the newest or there is no limit.
    std::optional<base::monotonic_time> begin_by(const std::string& model,
                                                 std::uint64_t version) const;
    /// @return whether there is a limit on how long outdated weights may be used.
    bool has_outdated_limit() const { return m_settings.outdated_limit.has_value(); }
    /// @return the earliest deadline that naming newer weights from now on could impose on requests
    /// that use the newest weights known; nullopt without a limit or a confirmed policy.
    std::optional<base::monotonic_time> earliest_deadline() const;
    /// Records how long a request with a prompt took to begin, or waited without beginning.
    /// @param took time since the request was sent.
    void record_begin_delay(const base::pool_name& pool, const core::placement::expected_work& work,
                            base::duration took) {
        m_forecasts[pool].began(work.tokens_before, took);
    }
    /// Records how long an answer took, from its beginning to its end.
    void record_run_time(const base::pool_name& pool, const core::placement::expected_work& work,
                         base::duration took) {
        m_forecasts[pool].ended(work.output_tokens, took);
    }

  private:
    /// The two largest holdings among those that state can be fetched from. Expected holdings don't
    /// count: their engines are still computing the state.
    struct state_sources {
        base::engine_name best;           ///< The holder of the most tokens.
        std::uint64_t most_tokens = 0;    ///< Tokens held by `best`.
        std::uint64_t second_tokens = 0;  ///< The most tokens of any other holder.

        void add(const core::placement::holding& one);
        /// @return the most tokens that any holder but `holder` has.
        std::uint64_t most_tokens_excluding(const base::engine_name& holder) const {
            return holder == best ? second_tokens : most_tokens;
        }
    };
    /// The prompt in the cache scope of one version of the weights, and the holders of its prefix.
    struct scoped_prompt {
        std::string scope;
        std::vector<core::prefix::scoped_part> parts;
        std::vector<core::placement::holding> holdings;  ///< Sorted by holder name.
        bool may_fetch = false;                          ///< If not, the sources below are empty.
        bool may_use_stores = false;  ///< State may be fetched from stores and sent to them.
        state_sources everywhere;
        /// Filled only if there are several regions.
        std::map<base::region_name, state_sources> by_region;

        std::uint64_t held_by(const base::engine_name& holder) const;
    };
    /// Keyed by the version of the weights.
    using scoped_prompts = std::map<std::uint64_t, scoped_prompt>;
    /// An engine that may get the request, with the inputs of its cost.
    struct eligible_engine {
        const known_engine* engine = nullptr;
        core::placement::peer_load others;      ///< Load from other routers.
        const scoped_prompt* prompt = nullptr;  ///< Null if the request has no prompt.
        /// Set for a request with a prompt if the engine's weights are outdated.
        std::optional<base::monotonic_time> outdated_since;
        std::optional<core::placement::begin_limit> limit;
    };

    bool may_serve(const known_engine& engine, const selection_query& query,
                   base::monotonic_time now) const;
    /// @return the zone of an engine or a state store; nullopt if neither is listed.
    std::optional<base::zone_name> zone_of(const selection_query& query,
                                           const base::engine_name& holder) const;
    /// Loading other weights makes an engine drop its KV cache. State that it then recomputes for
    /// requests begun before is cached, reported and stored under their old scope, although it was
    /// computed with the new weights and must not be used.
    /// @return whether the state that the holder has for a scope was computed with the scope's
    /// weights. That of a store was, as far as known, until newer weights are named.
    bool has_scope_weights(const base::engine_name& holder, const std::string& model,
                           std::uint64_t version, base::monotonic_time now) const;
    static void set_state_source(const known_engine& source, selected_engine& chosen);
    /// Removes the source of state from the selection for a request that can't be withdrawn, if it
    /// might begin only when the source is outdated, or if the source is an engine that would have
    /// to keep its weights for a few tokens.
    void limit_state_source(const selection_query& query, std::uint64_t input_tokens,
                            selected_engine& chosen) const;
    void find_state_sources(const selection_query& query, scoped_prompt& prompt) const;
    bool same_region(const base::zone_name& one, const base::zone_name& other) const {
        return m_settings.zones.same_region(one, other);
    }
    /// @return whether fetching state from another region costs less than computing it.
    bool cross_region_fetch_pays_off() const;
    scoped_prompt make_scoped_prompt(const selection_query& query, std::uint64_t version,
                                     base::monotonic_time now) const;
    const scoped_prompt& prompt_under(std::uint64_t version, const selection_query& query,
                                      scoped_prompts& prompts, base::monotonic_time now) const;
    /// @return the engines that are considered for the request, sorted by name.
    std::vector<const known_engine*> shortlisted_engines(const selection_query& query,
                                                         scoped_prompts& prompts,
                                                         base::monotonic_time now) const;
    /// @return the engines of the pool that hold the most of the prompt's state, for each version
    /// of the weights that a listed engine has.
    std::vector<const known_engine*> top_holders(const std::vector<const known_engine*>& listed,
                                                 const selection_query& query,
                                                 scoped_prompts& prompts,
                                                 base::monotonic_time now) const;
    std::vector<eligible_engine> eligible_engines(const selection_query& query,
                                                  scoped_prompts& prompts,
                                                  base::monotonic_time now) const;
    /// Marks the prompt's home among the candidates.
    /// @return the home, or null if there is none.
    const known_engine* mark_home(const std::vector<eligible_engine>& engines,
                                  const core::prefix::declared_prompt& prompt,
                                  core::placement::placement_query& placed) const;
    /// Reduces the candidates to the home, the engines that hold all of the prompt's shared parts,
    /// and a sample of the others. The sample contains suspended engines only if there are too few
    /// others, and only a small share of other regions if the own region has enough engines.
    void sample_candidates(const base::request_id& id, std::vector<eligible_engine>& engines,
                           core::placement::placement_query& placed) const;
    const core::placement::begin_forecast& forecast_of(const base::pool_name& pool) const;
    core::placement::expected_work expected_work_at(
        const core::placement::engine_candidate& candidate,
        const core::placement::placement_query& placed, const selection_query& query) const;
    /// Removes the engines with outdated weights at which the request isn't expected to begin
    /// before its deadline, and sets the limit of the remaining outdated ones.
    void remove_late_engines(const selection_query& query, base::monotonic_time now,
                             std::vector<eligible_engine>& engines,
                             core::placement::placement_query& placed) const;
    /// @return the deadline sent to the engine so that outdated weights are not used beyond their
    /// limit; nullopt if none is sent.
    std::optional<base::monotonic_time> stop_by(const selection_query& query,
                                                const eligible_engine& one,
                                                const core::placement::expected_work& work,
                                                base::monotonic_time now) const;
    core::placement::engine_candidate candidate_of(const eligible_engine& one,
                                                   const selection_query& query,
                                                   base::monotonic_time now) const;
    /// Sets where the engine fetches the prompt's state from and saves it to.
    /// @param cross_region whether state may be fetched from another region.
    void add_state_terms(const selection_query& query, const scoped_prompt& prompt,
                         bool cross_region, base::monotonic_time now,
                         selected_engine& chosen) const;
    /// Sets the state store that the prompt is fetched from and saved to.
    /// @return the most tokens of the prompt that one store holds.
    std::uint64_t add_store_terms(const selection_query& query, const scoped_prompt& prompt,
                                  bool cross_region, selected_engine& chosen) const;
    /// Makes the engine fetch from the home if no holder of the whole shared prompt is known: the
    /// home may hold it.
    void add_home_terms(const selection_query& query, const scoped_prompt& prompt,
                        const known_engine* home, base::monotonic_time now,
                        selected_engine& chosen) const;
    bool may_provide_state(const known_engine& engine, const selection_query& query,
                           base::monotonic_time now) const;
    /// Sets how many bytes are fetched and over what distance, for logs and metrics.
    void set_transfer(const selection_query& query, std::uint64_t tokens,
                      selected_engine& chosen) const;
    /// @return the stores whose state is worth fetching into the zone.
    std::vector<core::traffic::state_store> stores_for(const selection_query& query,
                                                       bool cross_region,
                                                       const base::zone_name& zone) const;
    /// @return the engine with the most of the prompt's state, the nearest of equals; null if none.
    const known_engine* best_source(const selection_query& query, const scoped_prompt& prompt,
                                    bool cross_region, const selected_engine& chosen,
                                    base::monotonic_time now) const;

    engine_registry& m_registry;
    const policy_source& m_policies;
    core::placement::warm_state& m_warm;
    const core::placement::engine_load_view& m_loads;
    selection_settings m_settings;
    const canary_traffic* m_releases = nullptr;
    std::map<base::pool_name, core::placement::gap_pressure> m_gap_pressures;
    std::map<base::pool_name, core::placement::begin_forecast> m_forecasts;
    core::topology::zone_latency_estimator m_paths;
    std::function<bool(const base::endpoint&)> m_is_connected;
    std::function<bool()> m_knows_holders;
    std::function<bool()> m_learns_of_weights;
    double m_unseen_load_factor = 1;  ///< Applied to the load of engines; see `expect_routers`.
};

/// @return the holder name under which a store's state is tracked.
base::engine_name holder_name_of(const core::traffic::state_store& store);

/// @return the scope in which prompt state may be shared: a version of the weights and, for an
/// isolated tenant, that tenant; for others, what the policy's other tenants share.
std::string cache_scope_of(const core::traffic::traffic_policy& policy,
                           const core::traffic::tenant* tenant, std::uint64_t version);

}  // namespace ferryroad::relay
