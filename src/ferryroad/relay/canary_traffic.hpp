/// @file
/// What a router does with the requests of pools whose software is being released: which engines
/// they may get, which of them go to a version on trial, and what is counted of their answers.
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
    /// Each router judges its own answers, too: of all of them, one in so many trials of a good
    /// version may stop by itself, as it does with `judge.false_alarm` on the whole evidence.
    double routers = 100;
    /// The engines that get canary requests are chosen anew so often.
    base::duration choice_holds = std::chrono::milliseconds(100);
    /// Streams that one engine breaks off within this time have one cause: it ended.
    base::duration one_crash = std::chrono::seconds(1);
};

/// How an exchange with an engine ended that says something of its software.
struct exchange_result {
    base::pool_name pool;
    base::route_name route;
    base::engine_name engine;
    coordination::release::software_version software;
    coordination::release::order_number order;  ///< Under which it began.
    bool failed = false;                        ///< The engine ran it and failed.
    bool broken_off = false;                    ///< Of these: its stream ended early.
    base::duration taken{};                     ///< For the same work, where it didn't fail.
    bool timed = true;                          ///< `taken` says something of the software.

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

/// This router's part in one order.
struct own_release {
    coordination::release::release_order order;
    std::optional<coordination::release::release_phase> phase;  ///< That was told last.
    core::canary::counts_by_route counts;
    core::canary::judgement found;  ///< By these counts alone.
    std::uint64_t requests = 0;     ///< First dispatches while there was a grant.
    std::uint64_t exposed = 0;      ///< Of these, to the canary.
};

/// Used from the event loop's thread. The registry outlives it.
class canary_traffic {
  public:
    canary_traffic(engine_registry& registry, canary_settings settings);

    // ---- What becomes known ----

    void change_settings(const canary_settings& settings);
    void order(const coordination::release::release_order& given);
    void told(const coordination::release::phase_notice& notice, base::monotonic_time now);
    /// All orders given before `as_of` have been handed in.
    void confirmed(base::monotonic_time as_of) {
        m_gate.confirmed(as_of);
        m_confirmed_at = as_of;
    }
    /// The list of engines has changed; orders that were read along with it are handed in before.
    void engines_changed(base::monotonic_time now);
    /// Judges this router's own counts, and ends the trial here where they show a bad version.
    /// @return whether that was found just now.
    bool look(const base::pool_name& pool);

    // ---- Requests ----

    /// Asked once for each request, at its first dispatch.
    /// @return whether it goes to the canary.
    bool choose(const base::pool_name& pool, const base::route_name& route,
                base::monotonic_time now);
    /// A chosen request went elsewhere after all.
    void give_back(const base::pool_name& pool, const base::route_name& route);
    /// @return the order that exchanges of the pool begin under now; nothing without one.
    std::optional<coordination::release::order_number> order_under_way(
        const base::pool_name& pool) const;
    void ended(const exchange_result& result, base::monotonic_time now);

    // ---- Questions ----

    /// A pool that would stand without any engine (this router has just started, or all engines
    /// are being replaced) is served by those that only lack a confirmation; by all where no order
    /// was ever heard of.
    coordination::release::permission permits(const known_engine& engine,
                                              base::monotonic_time now) const;
    /// @return whether the engine is one that canary requests of its pool go to.
    bool takes_canaries(const known_engine& engine, base::monotonic_time now) const;
    /// @return whether others may fetch prompt state from the engine: all but versions that are
    /// refused, or may get no requests yet.
    bool may_give_state(const known_engine& engine, base::monotonic_time now) const;
    std::optional<base::monotonic_time> confirmed_at() const { return m_confirmed_at; }
    const coordination::release::version_gate& gate() const { return m_gate; }
    /// @return null where the pool has no order.
    const own_release* find(const base::pool_name& pool) const;
    /// @return requests running here at engines that the release replaces, that would be lost.
    std::uint32_t unrepeatable_at_replaced(const base::pool_name& pool) const;

  private:
    /// Of one pool, from its first order on.
    struct pool_release {
        own_release own;
        core::canary::exposure_budget budget;
        core::canary::canary_trial trial;
        std::optional<coordination::release::phase_notice> told;
        std::set<base::engine_name> canaries;
        base::monotonic_time chosen_at{};
        std::map<base::engine_name, base::monotonic_time> broke_at;
    };

    coordination::release::permission gate_permits(const known_engine& engine,
                                                   base::monotonic_time now) const;
    bool stands_empty(const base::pool_name& pool, base::monotonic_time now) const;
    void choose_engines(pool_release& one, base::monotonic_time now) const;
    core::canary::judge_tunables own_judge() const;

    engine_registry& m_registry;
    canary_settings m_settings;
    coordination::release::version_gate m_gate;
    std::optional<base::monotonic_time> m_confirmed_at;
    std::set<base::pool_name> m_heard;  ///< Pools that an order or a notice of one named.
    std::map<base::pool_name, pool_release> m_pools;
};

/// Asked for each engine while one request is placed: looks up little more than once for each
/// version. Lives for one selection.
class release_filter {
  public:
    /// @param releases may be null: then all are allowed. @param canary whether the request was
    /// chosen for the canary.
    release_filter(const canary_traffic* releases, bool canary, base::monotonic_time now)
        : m_releases(releases), m_canary(canary), m_now(now) {}

    /// @param engine of the one pool that is asked about.
    bool allows(const known_engine& engine);

  private:
    struct known_permission {
        const coordination::release::software_version* software = nullptr;
        bool confirmed = false;
        coordination::release::permission found{};
    };

    coordination::release::permission permission_of(const known_engine& engine);

    const canary_traffic* m_releases;
    bool m_canary;
    base::monotonic_time m_now;
    /// Of the versions met first; of others, of which a pool seldom has any, the gate is asked
    /// anew.
    std::array<known_permission, 4> m_known;
    std::size_t m_known_count = 0;
};

}  // namespace ferryroad::relay
