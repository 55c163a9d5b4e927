/// @file
/// Membership services of several routers on a simulated network in virtual time.
#pragma once

#include "bench/simulation/faults/fault_counts.hpp"
#include "bench/simulation/network/peer_transport.hpp"
#include "bench/simulation/virtual_scheduler.hpp"
#include "ferryroad/router/membership/membership_service.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ferryroad::router::membership::test {

using namespace std::chrono_literals;
using bench::simulation::virtual_scheduler;
using bench::simulation::virtual_time;

inline base::endpoint address_of(std::size_t index) {
    return {"10.0.0." + std::to_string(1 + index), 7000};
}
inline base::router_name name_of(std::size_t index) {
    return base::router_name("router-" + std::to_string(index));
}

/// One router process; destroying it is a crash.
class simulated_peer {
  public:
    simulated_peer(virtual_time& time, bench::simulation::peer_exchange& exchange,
                   std::size_t index, std::uint64_t process)
        : scheduler(time, index * 1000 + process),
          transport(exchange, scheduler, address_of(index)),
          dispatcher(transport, name_of(index), base::incarnation(process)),
          membership({name_of(index), base::incarnation(process), base::zone_name("zone"),
                      base::region_name("region"), address_of(index)},
                     {address_of(0), address_of(1)}, {scheduler, transport, dispatcher}) {
        membership.listen({[this] { return revision; },
                           [this](base::revision seen) { revisions_seen.push_back(seen); },
                           [this](const base::engine_name& engine, base::incarnation process_) {
                               engines_leaving.push_back(engine.value + "/" +
                                                         std::to_string(process_.value));
                           }});
        scheduler.run([this] { membership.start(); });
    }
    simulated_peer(const simulated_peer&) = delete;
    ~simulated_peer() { scheduler.kill(); }

    virtual_scheduler scheduler;
    bench::simulation::peer_transport transport;
    peer::peer_dispatcher dispatcher;
    membership_service membership;
    base::revision revision;
    std::vector<base::revision> revisions_seen;
    std::vector<std::string> engines_leaving;
};

/// A group of router processes that join through the first two of them.
class simulated_peers {
  public:
    explicit simulated_peers(std::size_t size) : peers(size) {
        for (std::size_t index = 0; index < size; ++index) {
            start(index, 1);
        }
    }
    ~simulated_peers() { peers.clear(); }

    /// Starts a process; replaces the one at `index`.
    void start(std::size_t index, std::uint64_t process) {
        peers[index].reset();
        peers[index] = std::make_unique<simulated_peer>(time, exchange, index, process);
    }
    void crash(std::size_t index) { peers[index].reset(); }

    /// @return whether the condition became true within `limit` of virtual time.
    bool run_until(const std::function<bool()>& condition, base::duration limit = 60s) {
        const base::monotonic_time end = time.now() + limit;
        while (!condition() && time.now() < end) {
            time.run_until(time.now() + 50ms);
        }
        return condition();
    }
    /// @return whether every running router considers `count` routers live.
    bool all_see(std::size_t count) const {
        for (const auto& each : peers) {
            if (each && each->membership.live().size() != count) {
                return false;
            }
        }
        return true;
    }

    virtual_time time{1};
    bench::simulation::fault_counts faults;
    bench::simulation::network network{time, {}, faults};
    bench::simulation::peer_exchange exchange{network};
    std::vector<std::unique_ptr<simulated_peer>> peers;
};

}  // namespace ferryroad::router::membership::test
