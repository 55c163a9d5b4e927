/// @file
/// Decides to which software versions of a pool's engines a router may send requests: to the
/// versions in force and, as far as the phase of an order allows, to its target.
#pragma once

#include "ferryroad/coordination/release/types.hpp"

#include <map>
#include <optional>

namespace ferryroad::coordination::release {

/// Settings of `version_gate`.
struct gate_tunables {
    /// A trial that was not confirmed by a notice for this long ends at this router. A router that
    /// gets no notices must stop well before `rollback_ms` (5 s on the known platforms) after a bad
    /// version was found.
    base::duration grant = std::chrono::milliseconds(2000);
};

/// Requests that an engine may get.
enum class permission : std::uint8_t {
    all,     ///< All requests, like any engine of its pool.
    canary,  ///< Only requests selected for the trial.
    none
};

/// State of one router. Pure: events and the current time come in. Not thread-safe.
///
/// A version is *in force* at this router if it may be served without further conditions: it was
/// the only version of its pool in the first list that this router read; or it was listed no later
/// than a confirmation and is neither the target of an order nor refused nor replaced; or it is the
/// target of an order that was announced as completed. It stays in force until another version is
/// announced as completed.
///
/// The target of an order is served as before if it was in force when the order came and no other
/// listed version was (the order then names the version already in use). While no notice about the
/// order has arrived, it is also served if this router has seen no other version of the pool at all
/// (the router has just started, long after the release). Engines that leave, however many, change
/// neither.
class version_gate {
  public:
    explicit version_gate(gate_tunables tunables = {}) : m_tunables(tunables) {}

    /// An order was read. For each pool only the order with the greatest number counts. An order
    /// whose target was announced as completed before is still a new order.
    void order(const release_order& given);
    /// A notice arrived from the coordinator. A notice about an order that isn't known yet is kept:
    /// its trial begins only when the order is known, other phases count at once. A phase never
    /// goes back, except to `rolled_back` before `completed`. `completed` counts even after
    /// `rolled_back`, because it is announced only once it is recorded, while a roll-back may be
    /// announced before it is recorded.
    /// @param now if the notice answers a report, the time at which the report was sent, so that a
    /// grant received while the router was frozen has expired when it resumes.
    void told(const phase_notice& notice, base::monotonic_time now);
    /// This router found by itself that the version is bad: no more canary requests under this
    /// order, until the version is promoted after all.
    void stop(const base::pool_name& pool);
    /// All orders given before `as_of` have been passed to `order`.
    void confirmed(base::monotonic_time as_of);
    /// The list of the pool's engine versions was read. Must be called with all versions at once
    /// before an engine of the pool is asked about, and whenever the set of versions has changed;
    /// more calls do no harm. Orders read together with the list must be passed to `order` first.
    void listed(const base::pool_name& pool, const std::set<software_version>& versions,
                base::monotonic_time now);

    /// @param listed_at when this router first saw the engine in the list.
    /// @return which requests the engine may get.
    permission permits(const base::pool_name& pool, const software_version& version,
                       base::monotonic_time listed_at, base::monotonic_time now) const;

    /// @return the current order of the pool, whether ended or not; null if there is none.
    const release_order* order_of(const base::pool_name& pool) const;
    /// @return the phase announced for that order; nothing if none was announced.
    std::optional<release_phase> phase_of(const base::pool_name& pool) const;
    /// @return whether the pool has an order that is not known to have ended; the router must then
    /// send reports.
    bool under_way(const base::pool_name& pool) const;
    const std::map<base::pool_name, release_order>& orders() const { return m_orders; }

  private:
    struct told_phase {
        phase_notice notice;
        base::monotonic_time at{};
    };
    struct seen_version {
        base::monotonic_time first_at{};
        bool listed = false;
        bool in_force = false;
    };
    /// State of one pool.
    struct pool_state {
        std::optional<told_phase> told;
        /// All versions seen since this router started.
        std::map<software_version, seen_version> seen;
        /// Targets of earlier orders that aren't known to have been promoted. Cleared when a
        /// coordinator tells which versions are refused.
        std::set<software_version> superseded;
        /// Whether the target was already in force when the order came.
        bool target_in_force = false;
        std::optional<order_number> stopped;  ///< Order for which `stop` was called.
    };

    const pool_state* state_of(const base::pool_name& pool) const;
    /// @return the notice about the pool's current order; null if the last notice was about another
    /// order.
    const phase_notice* notice_of_order(const base::pool_name& pool) const;
    permission permits_target(const base::pool_name& pool, const pool_state& state,
                              base::monotonic_time now) const;
    bool only_in_force(const pool_state& state, const software_version& version) const;
    bool may_come_into_force(const base::pool_name& pool, const pool_state& state,
                             const software_version& version) const;
    void bring_into_force(const base::pool_name& pool, pool_state& state) const;

    gate_tunables m_tunables;
    std::map<base::pool_name, release_order> m_orders;
    std::map<base::pool_name, pool_state> m_pools;
    std::optional<base::monotonic_time> m_confirmed_at;
};

}  // namespace ferryroad::coordination::release
