/// @file
/// The simulated network: latency by place, loss, doubling, reordering, cuts.
#pragma once

#include "bench/simulation/faults/fault_counts.hpp"
#include "bench/simulation/virtual_time.hpp"
#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/strong_id.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ferryroad::bench::simulation {

/// Where a machine stands.
struct machine_place {
    base::zone_name zone;
    base::region_name region;
};

/// Latencies are one way. Shares are of datagrams.
struct network_settings {
    base::duration within_zone = std::chrono::microseconds(200);
    base::duration between_zones = std::chrono::microseconds(1500);
    base::duration between_regions = std::chrono::milliseconds(30);
    double jitter_share = 0.2;  ///< Of the latency, added at random.
    double loss_share = 0;
    double doubled_share = 0;
    double reordered_share = 0;
    base::duration reorder_delay = std::chrono::milliseconds(20);
    /// How soon a connection tries again what a cut held up.
    base::duration retransmission = std::chrono::milliseconds(200);
};

using cut_id = base::strong_id<struct cut_id_tag, std::uint64_t>;
using machine_set = std::set<base::endpoint>;

class channel;

/// Carries actions between addresses. What arrives runs outside any process: receivers
/// enter their process themselves. An address never placed counts as the same zone.
class network {
  public:
    network(virtual_time& time, network_settings settings, fault_counts& faults);
    network(const network&) = delete;
    network& operator=(const network&) = delete;
    /// Drops what has not arrived. Processes that may still send are ended before.
    ~network();

    virtual_time& time() { return time_; }
    network_settings& settings() { return settings_; }
    fault_counts& faults() { return faults_; }

    void place(const base::endpoint& machine, machine_place where);

    /// From now on nothing passes between the two sets, either way.
    cut_id cut(machine_set left, machine_set right);
    void heal(cut_id id);
    void heal_all();
    bool is_cut(const base::endpoint& from, const base::endpoint& to) const;
    /// All that `machine` sends or receives takes `extra` longer; 0 ends it.
    void slow(const base::endpoint& machine, base::duration extra);

    /// @return latency of one message now, jitter included.
    base::duration latency(const base::endpoint& from, const base::endpoint& to);

    /// Loses, doubles or delays the datagram as the settings say; `arrive` may run 0 to 2 times.
    void send_datagram(const base::endpoint& from, const base::endpoint& to,
                       const std::function<void()>& arrive);

  private:
    friend class channel;

    struct cut_sets {
        machine_set left;
        machine_set right;
    };

    void deliver_datagram(const base::endpoint& from, const base::endpoint& to,
                          const std::function<void()>& arrive);
    base::duration base_latency(const base::endpoint& from, const base::endpoint& to) const;
    base::duration extra_of(const base::endpoint& machine) const;
    bool happens(double share);

    virtual_time& time_;
    network_settings settings_;
    fault_counts& faults_;
    std::map<base::endpoint, machine_place> places_;
    std::map<base::endpoint, base::duration> slowed_;
    std::map<cut_id, cut_sets> cuts_;
    std::uint64_t next_cut_ = 1;
    std::set<channel*> busy_;  ///< With messages on their way.
};

/// One direction of a connection: messages arrive in order or, once closed, not at all. A cut
/// holds them up until it heals.
class channel final : public std::enable_shared_from_this<channel> {
  public:
    static std::shared_ptr<channel> open(network& carrier, base::endpoint from, base::endpoint to);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    void send(std::function<void()> arrive);
    /// Drops what has not arrived.
    void close();
    bool closed() const { return closed_; }

  private:
    channel(network& carrier, base::endpoint from, base::endpoint to);

    struct message {
        base::monotonic_time due{};
        std::function<void()> arrive;
    };

    void schedule(base::monotonic_time when);
    void deliver_first();

    network& carrier_;
    base::endpoint from_;
    base::endpoint to_;
    std::deque<message> waiting_;
    base::monotonic_time last_due_{};
    bool closed_ = false;
};

}  // namespace ferryroad::bench::simulation
