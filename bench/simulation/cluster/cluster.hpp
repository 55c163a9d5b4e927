/// @file
/// A whole simulated system: platform, engines, routers, callers, operators.
#pragma once

#include "bench/simulation/callers/caller_population.hpp"
#include "bench/simulation/cluster/cluster_options.hpp"
#include "bench/simulation/cluster/operators.hpp"
#include "bench/simulation/cluster/simulated_router.hpp"
#include "bench/simulation/engines/simulated_engine.hpp"

#include <memory>
#include <vector>

namespace ferryroad::bench::simulation {

/// Single-threaded; one for each run.
class cluster {
  public:
    explicit cluster(cluster_options options);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    /// Starts all processes and has the first configuration applied; runs until every router
    /// is ready, `limit` at most. @return whether all are.
    bool start(base::duration limit);

    const cluster_options& options() const { return options_; }
    virtual_time& time() { return time_; }
    fault_counts& faults() { return faults_; }
    network& carrier() { return carrier_; }
    simulated_platform& platform() { return platform_; }
    std::vector<std::unique_ptr<simulated_engine>>& engines() { return engines_; }
    std::vector<std::unique_ptr<simulated_router>>& routers() { return routers_; }
    const std::vector<std::unique_ptr<simulated_router>>& routers() const { return routers_; }
    operators& operator_team() { return *operators_; }
    caller_population& callers() { return *callers_; }
    const std::vector<base::endpoint>& caller_machines() const { return caller_machines_; }
    bool all_ready() const;

    /// Puts the engine on the machine list as what it is now.
    void list_engine(const simulated_engine& engine);

  private:
    machine_place place_of(std::size_t index) const;
    void add_engines();
    void add_routers();
    std::vector<simulated_router*> router_pointers() const;

    cluster_options options_;
    virtual_time time_;
    fault_counts faults_;
    network carrier_;
    simulated_platform platform_;
    engine_fleet fleet_;
    std::vector<std::unique_ptr<simulated_engine>> engines_;
    peer_exchange peers_;
    std::vector<std::unique_ptr<simulated_router>> routers_;
    std::vector<base::endpoint> caller_machines_;
    std::unique_ptr<operators> operators_;
    std::unique_ptr<caller_population> callers_;
};

}  // namespace ferryroad::bench::simulation
