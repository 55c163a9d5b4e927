/// @file
/// A router machine of the simulation: one name, many processes of the real services.
#pragma once

#include "bench/simulation/cluster/router_front.hpp"
#include "bench/simulation/engines/engine_client.hpp"
#include "bench/simulation/network/peer_transport.hpp"
#include "bench/simulation/platform/platform_client.hpp"
#include "ferryroad/router/node.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ferryroad::bench::simulation {

/// What a router machine is told in its settings.
struct router_machine {
    base::router_name name;
    base::endpoint address;  ///< Of peers, callers and everything else.
    machine_place where;
    std::vector<base::endpoint> seeds;
    std::string policy = "cost";
    double clock_rate_error = 0;  ///< Largest share by which its clock runs fast or slow.
};

/// What routers stand on; everything outlives them.
struct router_neighbours {
    network& carrier;
    peer_exchange& peers;
    engine_fleet& engines;
    simulated_platform& platform;
};

/// All calls from outside processes, but for what `node()` offers: that is used from inside
/// the process, by `run`.
class simulated_router {
  public:
    simulated_router(router_machine machine, const router_neighbours& neighbours);
    ~simulated_router();
    simulated_router(const simulated_router&) = delete;
    simulated_router& operator=(const simulated_router&) = delete;

    const router_machine& machine() const { return machine_; }
    const base::endpoint& address() const { return machine_.address; }

    /// Starts a new process.
    void start();
    /// SIGKILL.
    void kill();
    void pause();
    void resume();
    /// SIGTERM: takes no new request, ends by itself once all under way have ended.
    /// @param stopped called then.
    void begin_planned_stop(std::function<void()> stopped);

    bool running() const { return process_ != nullptr; }
    bool paused() const;
    bool stopping() const;
    bool ready() const;
    base::incarnation incarnation() const { return incarnation_; }
    base::monotonic_time started_at() const { return started_at_; }
    /// @return revision in force at the process, 0 before the first and while it is down.
    base::revision revision() const;
    router::node& node();
    virtual_scheduler& scheduler();
    /// Calls `work` inside the process, if there is one.
    void run(std::function<void()> work);

    /// A caller's connection. @return false where nobody listens.
    bool accept(const std::shared_ptr<caller_exchange>& exchange);
    std::size_t exchanges_under_way() const;

  private:
    struct process;

    void end_process();
    void look_whether_drained();

    router_machine machine_;
    router_neighbours with_;
    base::incarnation incarnation_;
    base::monotonic_time started_at_{};
    std::unique_ptr<process> process_;
    std::function<void()> stopped_;
};

}  // namespace ferryroad::bench::simulation
