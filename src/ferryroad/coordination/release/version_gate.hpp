/// @file
/// Which software versions of a pool's engines a router may send requests to: those in force, and
/// the target of an order as far as its phase allows.
#pragma once

#include "ferryroad/coordination/release/types.hpp"

#include <map>
#include <optional>

namespace ferryroad::coordination::release {

struct gate_tunables {
    /// A trial that wasn't told of for so long ends here: a router that hears nothing must stop
    /// well before `rollback_ms` (5 s on the platforms known) after a bad version was found.
    base::duration grant = std::chrono::milliseconds(2000);
};

/// What requests an engine may get.
enum class permission : std::uint8_t {
    all,     ///< As any engine of its pool.
    canary,  ///< Those chosen for the trial.
    none
};

/// One router's view. Pure: events and `now` come in. Not thread-safe.
///
/// A version is *in force* here once it may be served without asking: the only one of its pool in
/// the first list that this router read; or listed no later than a confirmation, and neither the
/// target of an order nor refused nor replaced; or the target of an order told as completed. It
/// stays so until another version is told as completed.
///
/// The target of an order is served as before where it was in force when the order came and no
/// other listed version was (the order names what is there already); and, while nothing was told
/// of the order, where this router has seen no other version of the pool at all (it has just
/// started, long after the release). Engines that go, whatever their number, change neither.
class version_gate {
  public:
    explicit version_gate(gate_tunables tunables = {}) : m_tunables(tunables) {}

    /// An order was read; of one pool, only the greatest number counts. An order that names a
    /// version that was told as completed before is new all the same.
    void order(const release_order& given);
    /// Told by the coordinator. Of an order that isn't known yet: kept; a trial begins only once
    /// the order is known, the other phases count at once. A phase never goes back, except to
    /// `rolled_back` before `completed`. `completed` counts even after `rolled_back`: it is told
    /// only where it is recorded, a roll-back may be told before it is.
    /// @param now where it answers a report: when that was sent. A grant that waited for a frozen
    /// router is over when the router wakes.
    void told(const phase_notice& notice, base::monotonic_time now);
    /// This router has seen for itself that the version is bad: no more canary requests under
    /// this order.
    void stop(const base::pool_name& pool);
    /// All orders given before `as_of` have been handed to `order`.
    void confirmed(base::monotonic_time as_of);
    /// The pool's list as it is now: to be handed in, with all versions at once, before an engine
    /// of it is asked about, and when its set of versions has changed (more often does no harm).
    /// Orders read along with the list are handed to `order` before it.
    void listed(const base::pool_name& pool, const std::set<software_version>& versions,
                base::monotonic_time now);

    /// @param listed_at when this router first saw the engine in the list.
    permission permits(const base::pool_name& pool, const software_version& version,
                       base::monotonic_time listed_at, base::monotonic_time now) const;

    /// @return the order in force of the pool, final or not; null where there is none.
    const release_order* order_of(const base::pool_name& pool) const;
    /// @return the phase that was told of that order; nothing while none was.
    std::optional<release_phase> phase_of(const base::pool_name& pool) const;
    /// @return whether the pool's order is not known to have ended: reports are due.
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
    /// Of one pool.
    struct pool_state {
        std::optional<told_phase> told;
        std::map<software_version, seen_version> seen;  ///< Ever since this router started.
        /// Targets of earlier orders that aren't known to have been promoted, until a coordinator
        /// tells what is refused.
        std::set<software_version> overtaken;
        bool target_in_force = false;         ///< The order named what was in force already.
        std::optional<order_number> stopped;  ///< The order under which `stop` was called.
    };

    const pool_state* state_of(const base::pool_name& pool) const;
    /// @return the notice that goes with the pool's order; null where it is of another.
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
