/// @file
/// Membership of this router in the group of routers: runs the failure detector over the peer
/// transport.
#pragma once

#include "ferryroad/coordination/membership/failure_detector.hpp"
#include "ferryroad/peer/peer_dispatcher.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/router/membership/live_routers.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace ferryroad::router::membership {

/// Identity under which this router takes part in the group.
struct membership_identity {
    base::router_name name;
    base::incarnation process;  ///< Start time in milliseconds, below 2^44.
    base::zone_name zone;
    base::region_name region;
    base::endpoint peer_address;  ///< The address at which other routers reach it.
};

/// Dependencies of the service; all of them must outlive it.
struct membership_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    peer::peer_dispatcher& dispatcher;
};

/// Callbacks that supply what is gossiped and receive what gossip brings. Called on the event
/// loop's thread.
struct membership_listeners {
    /// @return the configuration revision in force here. Called often.
    std::function<base::revision()> revision_in_force;
    /// Called when another router has a higher revision in force.
    std::function<void(base::revision)> revision_seen;
    /// Called when gossip says that this process of an engine is leaving.
    std::function<void(const base::engine_name&, base::incarnation)> engine_leaving;
};

struct membership_settings {
    coordination::membership::detector_settings detector;
    /// Timeout of a join request, which returns the complete membership list.
    base::duration join_timeout = std::chrono::seconds(5);
};

struct membership_counters {
    std::uint64_t datagrams_malformed = 0;
    std::uint64_t joins_failed = 0;
};

/// Not thread-safe: used from the event loop's thread only. Must exist until the event loop has
/// ended.
class membership_service final : public live_routers {
  public:
    membership_service(const membership_identity& identity, std::vector<base::endpoint> seeds,
                       membership_ports ports, membership_settings settings = {});
    ~membership_service() override;
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Sets the callbacks, each of which may be empty. Call it before `start`.
    void listen(membership_listeners listeners) { listeners_ = std::move(listeners); }
    /// Joins the group. Call it once.
    void start();
    /// Begins a planned stop: the other routers no longer assign keys to this one, which still
    /// answers them.
    void leave();
    /// Announces that this router ends now, and ends the service.
    void stop();

    /// Gossips that this process of an engine is leaving.
    void gossip_engine_leaving(const base::engine_name& engine, base::incarnation process);
    /// Probes that router next. Call it after a call to the router failed.
    void suspect(const base::router_name& router) { detector_.probe_soon(router); }

    // live_routers
    std::vector<router_info> live() const override;
    std::vector<router_info> known() const override;
    std::optional<key_owners> owners_of(std::uint64_t key) const override;
    bool owned_here(std::uint64_t key) const override;
    void on_change(std::function<void()> listener) override;

    const membership_counters& counters() const { return counters_; }

  private:
    runtime::task<void> run();
    runtime::task<void> join(coordination::membership::request_join request);
    /// Passes a datagram to the failure detector.
    void receive(const base::endpoint& from, std::string_view bytes);
    peer::join_answer answer_join(const peer::join_request& request);
    void perform(coordination::membership::actions actions);
    router_info self() const;

    membership_ports ports_;
    membership_settings settings_;
    membership_listeners listeners_;
    std::vector<std::function<void()>> change_listeners_;
    coordination::membership::failure_detector detector_;
    membership_counters counters_;
    bool stopped_ = false;
};

}  // namespace ferryroad::router::membership
