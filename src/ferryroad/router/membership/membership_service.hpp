/// @file
/// This router's place among the others: runs the failure detector over the peer transport.
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

/// Who this router is.
struct membership_identity {
    base::router_name name;
    base::incarnation process;  ///< Start time in milliseconds, below 2^44.
    base::zone_name zone;
    base::region_name region;
    base::endpoint peer_address;  ///< As other routers reach it.
};

/// What the service stands on; everything outlives it.
struct membership_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    peer::peer_dispatcher& dispatcher;
};

/// What others are told, and what they tell. Called on the event loop's thread.
struct membership_listeners {
    /// The revision in force here; asked often.
    std::function<base::revision()> revision_in_force;
    /// Another router has a higher revision in force.
    std::function<void(base::revision)> revision_seen;
    /// Some router knows that this process of an engine is leaving.
    std::function<void(const base::engine_name&, base::incarnation)> engine_leaving;
};

struct membership_settings {
    coordination::membership::detector_settings detector;
    /// For one whole list to be fetched.
    base::duration join_limit = std::chrono::seconds(5);
};

struct membership_counters {
    std::uint64_t datagrams_malformed = 0;
    std::uint64_t joins_failed = 0;
};

/// Used from the event loop's thread; kept until the loop has ended.
class membership_service final : public live_routers {
  public:
    membership_service(const membership_identity& identity, std::vector<base::endpoint> seeds,
                       membership_ports ports, membership_settings settings = {});
    ~membership_service() override;
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Set before `start`. Each may be left empty.
    void listen(membership_listeners listeners) { listeners_ = std::move(listeners); }
    void start();
    /// Planned stop: others give this router no new role. It goes on answering.
    void leave();
    /// Tells others that this router ends now, and ends the service.
    void stop();

    /// Tells the other routers that this process of an engine is leaving.
    void spread_leaving(const base::engine_name& engine, base::incarnation process);
    /// A call to that router failed: it is probed next.
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
    runtime::task<void> join(coordination::membership::request_join order);
    void receive(const base::endpoint& from, std::string_view bytes);
    peer::join_answer answer_join(const peer::join_request& request);
    void perform(coordination::membership::actions todo);
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
