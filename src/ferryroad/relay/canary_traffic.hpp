/// @file
/// Routing of requests to pools whose software is being released: which engines may get requests,
/// which requests go to the canary version, and which results are counted to judge it.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/release/types.hpp"
#include "ferryroad/coordination/release/version_gate.hpp"
#include "ferryroad/core/canary/canary_trial.hpp"
#include "ferryroad/core/canary/exposure_budget.hpp"
#include "ferryroad/core/canary/types.hpp"
#include "ferryroad/relay/engine_registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace ferryroad::relay {

struct canary_settings {
    core::canary::exposure_tunables exposure;
    coordination::release::gate_tunables gate;
    core::canary::judge_tunables judge;
    /// Assumed number of routers. Each router also judges its own results; `judge.false_alarm` is
    /// divided by this number, so that the fleet's probability of stopping the trial of a good
    /// version in this way is about `judge.false_alarm`.
    double routers = 100;
    /// How often the set of engines that get canary requests is chosen again.
    base::duration engine_choice_period = std::chrono::milliseconds(100);
    /// Streams that an engine breaks off within this time count as one failure, as they have one
    /// cause: the engine crashed.
    base::duration crash_window = std::chrono::seconds(1);
};

/// Result of an exchange with an engine, as evidence on the engine's software.
struct exchange_result {
    base::pool_name pool;
    base::route_name route;
    base::engine_name engine;
    coordination::release::software_version software;
    coordination::release::order_number order;  ///< The order under which it began.
    bool failed = false;                        ///< The engine ran the request and failed.
    bool broken_off = false;                    ///< Failed because the stream ended early.
    /// Duration for a comparable amount of work; only if it didn't fail.
    base::duration taken{};
    bool timed = true;  ///< Whether `taken` is usable as evidence on the software.

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

/// This router's state and counts for one release order.
struct local_release {
    coordination::release::release_order order;
    std::optional<coordination::release::release_phase> phase;  ///< Last phase received.
    core::canary::counts_by_route counts;
    core::canary::judgement found;  ///< Judgement by these counts alone.
    std::uint64_t requests = 0;     ///< First dispatches while canary requests were allowed.
    std::uint64_t exposed = 0;      ///< Those of `requests` that were sent to the canary.
};

/// Must be used on the event loop's thread. The registry must outlive it.
class canary_traffic {
  public:
    canary_traffic(engine_registry& registry, canary_settings settings);

    // ---- Inputs ----

    /// The exposure budget and the judge of an order in progress keep the settings they began with.
    void change_settings(const canary_settings& settings);
    /// Adds a release order. Ignored unless its number exceeds that of the pool's current order.
    void order(const coordination::release::release_order& given);
    /// Applies a phase notice from the release coordinator.
    void told(const coordination::release::phase_notice& notice, base::monotonic_time now);
    /// All orders accepted before `as_of` have been passed to `order`.
    void confirmed(base::monotonic_time as_of) {
        m_gate.confirmed(as_of);
        m_confirmed_at = as_of;
    }
    /// The engine list has changed. Orders read along with the list must be passed to `order`
    /// first.
    void engines_changed(base::monotonic_time now);
    /// Judges this router's own counts, and stops the trial on this router if they show a bad
    /// version.
    /// @return whether this call found the version to be bad.
    bool look(const base::pool_name& pool);

    // ---- Requests ----

    /// Decides whether a request goes to the canary. Call once for each request, at its first
    /// dispatch.
    /// @return whether it goes to the canary.
    bool choose(const base::pool_name& pool, const base::route_name& route,
                base::monotonic_time now);
    /// Returns the budget of a request that `choose` selected but that was not sent to the canary.
    void give_back(const base::pool_name& pool, const base::route_name& route);
    /// @return the pool's order in progress; nullopt if there is none.
    std::optional<coordination::release::order_number> order_in_progress(
        const base::pool_name& pool) const;
    /// Counts the result of an exchange; ignored unless it began under the pool's current order.
    void ended(const exchange_result& result, base::monotonic_time now);

    // ---- Queries ----

    /// If no engine of a pool may get ordinary requests (this router has just started, or all
    /// engines are being replaced), those that only lack a confirmation may; if no order or notice
    /// for the pool was ever received, all may.
    /// @return which requests the engine may get.
    coordination::release::permission permits(const known_engine& engine,
                                              base::monotonic_time now) const;
    /// @return whether the engine is a canary of its pool and accepts requests at present.
    bool accepts_canary_requests(const known_engine& engine, base::monotonic_time now) const;
    /// @return whether other engines may fetch KV state from the engine. False for versions that
    /// were refused or may not get requests yet.
    bool is_state_source(const known_engine& engine, base::monotonic_time now) const;
    std::optional<base::monotonic_time> confirmed_at() const { return m_confirmed_at; }
    const coordination::release::version_gate& gate() const { return m_gate; }
    /// @return this router's state of the pool's order; null if the pool has none.
    const local_release* find(const base::pool_name& pool) const;
    /// @return the number of this router's running requests that cannot be retried, at engines
    /// whose software the release replaces.
    std::uint32_t unrepeatable_at_replaced(const base::pool_name& pool) const;

  private:
    /// State of one pool since its current order was received.
    struct pool_release {
        local_release own;
        core::canary::exposure_budget budget;
        core::canary::canary_trial trial;
        std::optional<coordination::release::phase_notice> last_notice;
        std::set<base::engine_name> canaries;
        base::monotonic_time chosen_at{};  ///< When `canaries` was chosen; zero to choose again.
        /// When the last crash was counted, by engine.
        std::map<base::engine_name, base::monotonic_time> crashed_at;
    };

    coordination::release::permission gate_permits(const known_engine& engine,
                                                   base::monotonic_time now) const;
    bool has_no_permitted_engine(const base::pool_name& pool, base::monotonic_time now) const;
    void choose_canary_engines(pool_release& one, base::monotonic_time now) const;
    core::canary::judge_tunables own_judge_tunables() const;

    engine_registry& m_registry;
    canary_settings m_settings;
    coordination::release::version_gate m_gate;
    std::optional<base::monotonic_time> m_confirmed_at;
    std::set<base::pool_name> m_announced;  ///< Pools that an order or notice was received for.
    std::map<base::pool_name, pool_release> m_pools;
};

/// Which requests a selection is for.
enum class released_requests : std::uint8_t {
    current,   ///< Those that begin at a version without conditions.
    canary,    ///< Those selected for the version on trial.
    continued  ///< Those that continue a stream at the version that began it.
};

/// Filters engines by release permission during one selection. Caches the permission by software
/// version, as a pool has few versions and many engines.
class release_filter {
  public:
    /// @param releases may be null: then all engines are allowed.
    release_filter(const canary_traffic* releases, released_requests requests,
                   base::monotonic_time now)
        : m_releases(releases), m_requests(requests), m_now(now) {}

    /// @param engine must be of the same pool in all calls.
    /// @return whether the engine may get the request.
    bool allows(const known_engine& engine);

  private:
    struct cached_permission {
        const coordination::release::software_version* software = nullptr;
        bool confirmed = false;
        coordination::release::permission found{};
    };

    coordination::release::permission permission_of(const known_engine& engine);

    const canary_traffic* m_releases;
    released_requests m_requests;
    base::monotonic_time m_now;
    /// The first versions seen. Further versions, which are rare, are looked up each time.
    std::array<cached_permission, 4> m_cached;
    std::size_t m_cached_count = 0;
};

}  // namespace ferryroad::relay
