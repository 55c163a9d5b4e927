/// @file
/// Brings a plan's faults about in a cluster, counts them, and knows who was disturbed when.
#pragma once

#include "bench/simulation/cluster/cluster.hpp"
#include "bench/simulation/faults/fault_plan.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ferryroad::bench::simulation {

enum class disturbance_kind {
    ended,    ///< Its process was killed or stopped, and started again.
    isolated  ///< Paused, cut off or slow to reach.
};

/// A time in which a router can't be expected to keep up with the others.
struct disturbance {
    std::size_t router = 0;
    disturbance_kind kind{};
    base::monotonic_time from{};
    base::monotonic_time until = base::monotonic_time::max();
};

/// Other weights that were accepted.
struct weights_acceptance {
    base::weights_version version;
    base::revision revision;
    base::monotonic_time at{};
};

/// A planned stop and when the process had ended.
struct planned_stop {
    std::size_t router = 0;
    base::monotonic_time begun{};
    std::optional<base::monotonic_time> ended;  ///< Nothing yet, or killed meanwhile.
    bool killed = false;
};

/// The world outlives it, and it outlives the run's events.
class fault_driver {
  public:
    explicit fault_driver(cluster& world) : world_(world) {}

    /// Plans all faults, counted from `begin`.
    void schedule(const std::vector<planned_fault>& plan, base::monotonic_time begin);
    /// Ends every fault in force and starts what is down.
    void end_all();

    /// @return whether the router was disturbed at some time between the two.
    bool was_disturbed(std::size_t router, base::monotonic_time from,
                       base::monotonic_time until) const;
    /// @return whether it was disturbed in that way.
    bool was_disturbed(std::size_t router, disturbance_kind kind, base::monotonic_time from,
                       base::monotonic_time until) const;
    /// @return whether the platform was down, slow or limited at some time between the two.
    bool was_platform_disturbed(base::monotonic_time from, base::monotonic_time until) const;
    const std::vector<planned_stop>& planned_stops() const { return planned_stops_; }
    const std::vector<weights_acceptance>& weights() const { return weights_; }

  private:
    void begin(const planned_fault& fault);
    void kill_router(std::size_t index, base::duration down);
    void restart_herd(base::duration down);
    void pause_router(std::size_t index, base::duration length);
    void stop_router(std::size_t index, base::duration down);
    void start_router(std::size_t index);
    void cut_off(const planned_fault& fault);
    void slow_network(const planned_fault& fault);
    void fault_engine(const planned_fault& fault);
    void fault_platform(const planned_fault& fault);
    void take_engine_away(simulated_engine& engine, base::duration away);
    void race_operators(const planned_fault& fault);
    void change_weights(const planned_fault& fault);
    void disturb(std::size_t router, disturbance_kind kind, base::duration length);

    cluster& world_;
    bool ended_ = false;
    std::vector<disturbance> disturbances_;
    std::vector<disturbance> platform_disturbances_;
    std::vector<planned_stop> planned_stops_;
    std::vector<weights_acceptance> weights_;
    std::uint64_t next_version_ = 2;
};

}  // namespace ferryroad::bench::simulation
