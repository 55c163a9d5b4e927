/// @file
/// Joins the registry, the named weights and the beliefs on warm state into one question to
/// `core/placement`, and turns the answer into the terms of a dispatch.
#pragma once

#include "ferryroad/core/placement/begin_forecast.hpp"
#include "ferryroad/core/placement/engine_draw.hpp"
#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/placement/gap_pressure.hpp"
#include "ferryroad/core/placement/placement.hpp"
#include "ferryroad/core/placement/warm_state.hpp"
#include "ferryroad/core/topology/path_costs.hpp"
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
#include <string>
#include <vector>

namespace ferryroad::relay {

struct selection_settings {
    base::zone_name zone;
    core::topology::zone_map zones;  ///< With their regions.
    core::placement::placement_tunables placement;
    /// No request is to begin at an engine with older weights later than this after newer ones were
    /// named; nothing where old weights serve for ever.
    std::optional<base::duration> outdated_limit;
    /// From then on older weights cost worth, so that newer ones are preferred.
    base::duration outdated_grace{};
    /// Engines of a large pool that a request is looked at for.
    shortlist_limits shortlist;
    /// Engines without all of the prompt's shared state that a request is weighed for.
    core::placement::draw_limits drawn;
    /// A region with fewer sound engines than this has no homes of its own.
    std::size_t least_homes = 2;
};

/// What is to be placed.
struct selection_query {
    const relay_call& call;
    const core::traffic::traffic_policy& policy;
    base::pool_name pool;
    const core::traffic::tenant* tenant = nullptr;
    std::vector<base::engine_name> excluded;
    base::duration target_gap{};  ///< Of the route's streams.
    bool canary = false;          ///< Chosen for the version on trial, and only for that.
};

struct selected_engine {
    engine_target target;
    base::zone_name zone;
    coordination::release::software_version software;
    std::optional<std::uint64_t> expected_version;
    /// When newer weights than the engine's may have been named first; nothing where it has the
    /// newest.
    std::optional<base::monotonic_time> outdated_since;
    /// Until when it must have begun there; nothing where it may begin at any time.
    std::optional<base::monotonic_time> begin_by;
    /// The engine may be told to stop then, as the whole answer is expected before: what waits
    /// there will not begin later.
    std::optional<base::monotonic_time> stop_by;
    core::placement::expected_work work;
    /// Within what time after it is sent it is expected to begin there, by requests like it.
    base::duration begin_bound{};
    std::optional<std::string> cache_scope;
    std::optional<base::endpoint> fetch_state_from;
    base::zone_name fetched_state_zone;  ///< Where that lies.
    std::optional<base::endpoint> save_state_to;
    std::uint64_t warm_tokens = 0;       ///< Believed to be held by the engine.
    std::uint64_t fetchable_tokens = 0;  ///< The same, held elsewhere and worth moving.
    core::topology::distance away = core::topology::distance::same_zone;
    double path_ms = 0;                ///< The way there, beyond that within the own zone.
    std::uint64_t prefill_tokens = 0;  ///< Expected to be read anew.
    double moved_bytes = 0;            ///< Of state that is believed to be fetched.
    core::topology::distance moved_over = core::topology::distance::same_zone;
    bool canary = false;  ///< Chosen for the version on trial.
    double cost_ms = 0;
    std::size_t candidates = 0;
    std::uint32_t running = 0;  ///< Requests there, as far as is known here.
    std::uint32_t slots = 1;
    std::uint64_t pending_prefill_tokens = 0;  ///< Of these, before their first event.
};

/// Used from the event loop's thread. Collaborators outlive it.
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
    /// Engines get only what releases of their pool's software allow. @param releases outlives
    /// this.
    void follow_releases(const canary_traffic& releases) { m_releases = &releases; }
    /// @param keeps whether a connection to an engine is open and free; without it all are.
    void ask_connections(std::function<bool(const base::endpoint&)> keeps) {
        m_keeps_connection = std::move(keeps);
    }

    /// @param knows whether all engines' state is followed; without it all is.
    void ask_knowledge(std::function<bool()> knows) { m_knows_holders = std::move(knows); }

    /// Routers that aren't heard send requests, too, and are taken to load each engine as those
    /// do that are.
    /// @param present all routers. @param heard those whose load is known, at least 1.
    void expect_routers(std::size_t present, std::size_t heard);

    /// An engine of the zone began its answer to a request without a prompt after `took`.
    void record_way(const base::zone_name& zone, base::duration took, base::monotonic_time now) {
        m_paths.record(zone, took, now);
    }

    /// @return nothing where no engine may get the request now.
    std::optional<selected_engine> select(const selection_query& query, base::monotonic_time now);
    /// @param chosen for the same query. @return whether its engine may get the request still: time
    /// has passed since. Load and cost aren't weighed anew.
    bool still_serves(const selected_engine& chosen, const selection_query& query,
                      base::monotonic_time now) const;
    /// The engine reads the prompt of a dispatch: it will hold the prompt's parts.
    /// @return these parts.
    std::vector<core::prefix::scoped_part> record_dispatch(const relay_call& call,
                                                           const selected_engine& chosen,
                                                           base::monotonic_time now);

    /// A stream of the pool ended. @param target 0 where the route tells none.
    void record_gap(const base::pool_name& pool, base::duration longest, base::duration target) {
        if (target > base::duration{}) {
            m_gap_pressures[pool].record(longest, target);
        }
    }

    /// @return until when requests may begin under weights of `version`, by what has been named
    /// until now; nothing where they are the newest.
    std::optional<base::monotonic_time> begin_by(const std::string& model,
                                                 std::uint64_t version) const;
    /// @return whether there is a limit on how long older weights may be used.
    bool limits_outdated() const { return m_settings.outdated_limit.has_value(); }
    /// @return until when requests may begin under the newest weights, whatever is named from now
    /// on; nothing without a limit or a confirmation.
    std::optional<base::monotonic_time> earliest_limit() const;
    /// A request of the pool with a prompt began, or hadn't begun, `took` after it was sent.
    void record_beginning(const base::pool_name& pool, const core::placement::expected_work& work,
                          base::duration took) {
        m_forecasts[pool].began(work.tokens_before, took);
    }
    /// Its answer ended `took` after it had begun.
    void record_run(const base::pool_name& pool, const core::placement::expected_work& work,
                    base::duration took) {
        m_forecasts[pool].ended(work.output_tokens, took);
    }

  private:
    /// Who of some holders can give state away; what is only expected is being read still.
    struct givers {
        base::engine_name best;         ///< Holds the most.
        std::uint64_t most = 0;         ///< Tokens there.
        std::uint64_t most_beside = 0;  ///< The most that anyone else holds.

        void add(const core::placement::holding& one);
        /// @return the most that anyone but `holder` can give away.
        std::uint64_t held_beside(const base::engine_name& holder) const {
            return holder == best ? most_beside : most;
        }
    };
    /// The prompt under the weights of some engines, with those that hold its beginning.
    struct scoped_prompt {
        std::string scope;
        std::vector<core::prefix::scoped_part> parts;
        std::vector<core::placement::holding> holdings;  ///< In the order of their holders' names.
        givers everywhere;
        std::map<base::region_name, givers> by_region;  ///< Only where there are several.

        std::uint64_t held_by(const base::engine_name& holder) const;
    };
    /// By the version of the weights.
    using scoped_prompts = std::map<std::uint64_t, scoped_prompt>;
    struct weighed {
        const known_engine* engine = nullptr;
        core::placement::shared_load others;    ///< Load of other routers.
        const scoped_prompt* prompt = nullptr;  ///< Null without a prompt.
        /// Of a request with a prompt, where the engine's weights are outdated.
        std::optional<base::monotonic_time> outdated_since;
        std::optional<core::placement::begin_limit> limit;
    };

    bool may_serve(const known_engine& engine, const selection_query& query,
                   base::monotonic_time now) const;
    /// @return the zone of an engine or a store; nothing where neither is listed.
    std::optional<base::zone_name> zone_of(const selection_query& query,
                                           const base::engine_name& holder) const;
    /// An order for other weights makes an engine drop what it kept. What it reads again of
    /// requests that it had begun before is kept in their scope, but made under its new weights.
    /// @return whether what the holder tells of a scope was made under the scope's weights; of a
    /// store, which loads none, it is taken to be.
    bool keeps_scope(const base::engine_name& holder, const std::string& model,
                     std::uint64_t version, base::monotonic_time now) const;
    void find_givers(const selection_query& query, scoped_prompt& prompt) const;
    bool same_region(const base::zone_name& one, const base::zone_name& other) const {
        return m_settings.zones.same_region(one, other);
    }
    /// @return whether state of another region costs less to move than to read.
    bool far_state_is_worth_moving() const;
    scoped_prompt scoped(const selection_query& query, std::uint64_t version,
                         base::monotonic_time now) const;
    const scoped_prompt& prompt_under(std::uint64_t version, const selection_query& query,
                                      scoped_prompts& prompts, base::monotonic_time now) const;
    /// @return the engines that are looked at for the request, in the order of their names.
    std::vector<const known_engine*> considered(const selection_query& query,
                                                scoped_prompts& prompts,
                                                base::monotonic_time now) const;
    /// @return those that hold most of the prompt under the weights of the listed ones.
    std::vector<const known_engine*> holders_among(const std::vector<const known_engine*>& listed,
                                                   const selection_query& query,
                                                   scoped_prompts& prompts,
                                                   base::monotonic_time now) const;
    std::vector<weighed> eligible(const selection_query& query, scoped_prompts& prompts,
                                  base::monotonic_time now) const;
    /// @return the home, or null where there is none.
    const known_engine* mark_home(const std::vector<weighed>& engines,
                                  const core::prefix::declared_prompt& prompt,
                                  core::placement::placement_query& placed) const;
    /// Leaves the engines that hold the prompt's shared parts, its home, and some that are drawn:
    /// suspended ones only where there are too few others, those of other regions in a small part
    /// where the own has enough.
    void draw(const base::request_id& id, std::vector<weighed>& engines,
              core::placement::placement_query& placed) const;
    const core::placement::begin_forecast& forecast_of(const base::pool_name& pool) const;
    core::placement::expected_work work_at(const core::placement::engine_candidate& candidate,
                                           const core::placement::placement_query& placed,
                                           const selection_query& query) const;
    /// Leaves out engines at which the request isn't expected to begin before their weights are
    /// too old, and notes the limit of the other outdated ones.
    void keep_timely(const selection_query& query, base::monotonic_time now,
                     std::vector<weighed>& engines, core::placement::placement_query& placed) const;
    /// @return until when an engine is told to work at a request, for the sake of its weights.
    std::optional<base::monotonic_time> stop_by(const selection_query& query, const weighed& one,
                                                const core::placement::expected_work& work,
                                                base::monotonic_time now) const;
    core::placement::engine_candidate candidate_of(const weighed& one,
                                                   base::monotonic_time now) const;
    /// @param from_far the state is worth moving from another region.
    void add_state_terms(const selection_query& query, const scoped_prompt& prompt, bool from_far,
                         base::monotonic_time now, selected_engine& chosen) const;
    /// @return the most that one store holds of the prompt.
    std::uint64_t add_store_terms(const selection_query& query, const scoped_prompt& prompt,
                                  bool from_far, selected_engine& chosen) const;
    /// What nobody is known to hold may be at the home: it is fetched from there.
    void add_home_terms(const selection_query& query, const scoped_prompt& prompt,
                        const known_engine* home, base::monotonic_time now,
                        selected_engine& chosen) const;
    bool may_give(const known_engine& engine, const selection_query& query,
                  base::monotonic_time now) const;
    /// Notes how much is fetched, and how far, for logs and metrics.
    void note_move(const selection_query& query, std::uint64_t tokens,
                   selected_engine& chosen) const;
    /// @return the stores whose state is worth moving to the engine's zone.
    std::vector<core::traffic::state_store> stores_for(const selection_query& query, bool from_far,
                                                       const base::zone_name& zone) const;
    const known_engine* best_source(const selection_query& query, const scoped_prompt& prompt,
                                    bool from_far, const selected_engine& chosen,
                                    base::monotonic_time now) const;

    engine_registry& m_registry;
    const policy_source& m_policies;
    core::placement::warm_state& m_warm;
    const core::placement::engine_load_view& m_loads;
    selection_settings m_settings;
    const canary_traffic* m_releases = nullptr;
    std::map<base::pool_name, core::placement::gap_pressure> m_gap_pressures;
    std::map<base::pool_name, core::placement::begin_forecast> m_forecasts;
    core::topology::path_costs m_paths;
    std::function<bool(const base::endpoint&)> m_keeps_connection;
    std::function<bool()> m_knows_holders;
    double m_unseen_load = 1;
};

/// @return the name by which a store's state is remembered.
base::engine_name holder_of(const core::traffic::state_store& store);

/// @return the scope in which prompt state may be shared: by tenant where it is isolated, and
/// always by the version of the weights.
std::string cache_scope_of(const core::traffic::tenant* tenant, std::uint64_t version);

}  // namespace ferryroad::relay
