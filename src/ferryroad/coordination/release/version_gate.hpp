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
class version_gate {
  public:
    explicit version_gate(gate_tunables tunables = {}) : m_tunables(tunables) {}

    /// An order was read; of one pool, only the greatest number counts. An order that names a
    /// version that was told as completed before is new all the same.
    void order(const release_order& given);
    /// Told by the coordinator. Of an order that isn't known yet: kept until it is, or until a
    /// later one is told. A phase never goes back, except to `rolled_back` before `completed`.
    void told(const phase_notice& notice, base::monotonic_time now);
    /// This router has seen for itself that the version is bad: no more canary requests under
    /// this order.
    void stop(const base::pool_name& pool);
    /// All orders given before `as_of` have been handed to `order`.
    void confirmed(base::monotonic_time as_of) { m_confirmed_at = as_of; }

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
        bool stopped = false;
    };

    gate_tunables m_tunables;
    std::map<base::pool_name, release_order> m_orders;
    std::map<base::pool_name, told_phase> m_told;
    std::optional<base::monotonic_time> m_confirmed_at;
};

}  // namespace ferryroad::coordination::release
