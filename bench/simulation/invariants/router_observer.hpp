/// @file
/// Watches all routers while a run goes on: configuration and restarts.
#pragma once

#include "bench/simulation/cluster/cluster.hpp"
#include "bench/simulation/faults/fault_driver.hpp"
#include "bench/simulation/invariants/violation.hpp"

#include <cstddef>
#include <vector>

namespace ferryroad::bench::simulation {

/// Looks at the routers again and again, outside their processes. World and driver outlive it,
/// and it outlives the run's events.
class router_observer {
  public:
    router_observer(cluster& world, const fault_driver& driver, const invariant_bounds& bounds);

    /// Observes from now until `until`.
    void observe_until(base::monotonic_time until);
    /// After all faults are over and time was given: all routers ready, all at one revision.
    void check_recovered();

    const std::vector<violation>& violations() const { return violations_; }

  private:
    /// What was seen of one router.
    struct sighting {
        base::incarnation process;
        base::revision revision;        ///< Of the present process.
        base::revision ready_revision;  ///< Highest at which any process was ready.
        bool was_ready = false;         ///< The present process.
        bool late_reported = false;
    };

    void look();
    void look_at(std::size_t index);
    void check_revision(std::size_t index, sighting& seen);
    void check_restart(std::size_t index, sighting& seen);
    void check_convergence(std::size_t index, sighting& seen);
    bool could_be_ready(std::size_t index, base::monotonic_time from) const;
    base::revision accepted_before(base::monotonic_time limit) const;
    void report(invariant broken, std::string detail);

    cluster& world_;
    const fault_driver& driver_;
    invariant_bounds bounds_;
    base::monotonic_time until_{};
    std::vector<sighting> sightings_;
    std::vector<violation> violations_;
};

}  // namespace ferryroad::bench::simulation
