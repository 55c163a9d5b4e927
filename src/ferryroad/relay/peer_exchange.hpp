/// @file
/// Exchanges traffic notices with the other routers of this router's block: the load that each
/// router puts on engines, prompts that were just dispatched to engines, versions of weights that
/// engines reported, and changes of the prefix state that holders (engines that keep it) report.
#pragma once

#include "ferryroad/core/placement/engine_load_view.hpp"
#include "ferryroad/core/placement/warm_state.hpp"
#include "ferryroad/peer/traffic_notice.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/relay/engine_registry.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::relay {

struct peer_exchange_settings {
    core::topology::zone_map zones;  ///< Zones and the regions they belong to.
    /// Least interval between notices, unless one is urgent.
    base::duration notice_interval = std::chrono::milliseconds(50);
    /// The interval is at least this long for each router of the block. Each notice goes to all of
    /// them, so the number of datagrams that a router sends and receives per second is bounded
    /// whatever the size of the block.
    base::duration notice_interval_per_router = std::chrono::milliseconds(6);
    /// A router with nothing new sends a notice this often, so that its peers know it is alive.
    base::duration heartbeat_interval = std::chrono::milliseconds(500);
    /// A router that has lost its paths to all engines tells all routers so this often.
    base::duration paths_lost_interval = std::chrono::seconds(1);
    /// Interval between two reports of routers that are gone.
    base::duration gone_report_interval = std::chrono::seconds(3);
    /// A prompt with at least this many tokens to prefill is announced without delay.
    std::uint64_t urgent_prefill_tokens = 1000;
    /// Most entries, loading and loaded weights together, in a notice of `announce`.
    std::size_t max_weights = 16;
    /// A newer version of weights is repeated in notices for this long: each may be lost.
    base::duration known_weights_repeated_for = std::chrono::seconds(30);
    /// Most of these versions in a notice; they are sent in turns.
    std::size_t max_known_weights = 4;
    /// Most engine limits in a notice, so that it fits into a datagram.
    std::size_t max_limits = 16;
    /// Most loads in a notice, so that it fits into a datagram; the largest loads are sent.
    std::size_t max_loads = 24;
    /// Most prompt parts in a notice, so that it fits into a datagram. Further changes of holders
    /// go into another notice.
    std::size_t max_parts = 64;
};

/// What the router that runs a weights rollout knows about engines before other routers do.
struct rollout_announcement {
    std::vector<peer::loading_weights> loading;
    std::vector<peer::observed_weights> loaded;

    bool empty() const { return loading.empty() && loaded.empty(); }
    friend bool operator==(const rollout_announcement&, const rollout_announcement&) = default;
};

/// Collaborators of `peer_exchange`; all of them must outlive it.
struct peer_exchange_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    engine_registry& registry;
    core::placement::warm_state& warm;
    core::placement::engine_load_view& loads;
};

/// Not thread-safe: to be used from the event loop's thread. Must live until the loop has ended.
class peer_exchange {
  public:
    /// @param on_changes called with the changes of holders that other routers follow.
    peer_exchange(peer_exchange_ports ports, const peer_address& self,
                  std::function<void(const peer::holder_changes&)> on_changes,
                  peer_exchange_settings settings = {});

    /// @param callback called with each engine that this router or a peer sent a prompt to.
    void on_prompt_sent(std::function<void(const base::engine_name&)> callback) {
        m_on_prompt_sent = std::move(callback);
    }

    /// @param callback called with each engine limit that a peer announces, and the peer's name.
    void on_limit_announced(
        std::function<void(const peer::stated_engine_limit&, const base::router_name&)> callback) {
        m_on_limit_announced = std::move(callback);
    }

    /// @param callback called with each peer that announces whether it has lost its paths to all
    /// engines.
    void on_paths_announced(std::function<void(const base::router_name&, bool lost)> callback) {
        m_on_paths_announced = std::move(callback);
    }

    /// @param callback returns for each model the newest version of the weights that this router
    /// knows of. Must be set before `start`, if at all.
    void on_known_weights(std::function<std::vector<core::placement::known_weights>()> callback) {
        m_newest_weights = std::move(callback);
    }

    /// To be called once, before any traffic.
    void start();
    /// Sends the loads for the last time, and no further notices. Requests that rely on the weights
    /// of engines must not be sent from then on.
    void stop();

    /// Handles a datagram whose header identifies it as a notice; counts it where it is malformed.
    void handle_datagram(const base::endpoint& from, std::string_view bytes);

    /// Sets the complete list of routers that are present.
    void set_routers(const std::vector<peer_address>& present) {
        m_group.declare(present, m_ports.scheduler.now());
    }
    /// @param callback called with each router that the list names although it has long been
    /// silent, every `gone_report_interval` while that lasts.
    void on_peer_gone(std::function<void(const base::router_name&)> callback) {
        m_on_peer_gone = std::move(callback);
    }
    /// Records that a prompt was dispatched to an engine. To be called after its load is counted.
    /// @param prefill_tokens tokens that the engine is expected to prefill.
    void dispatched(const base::engine_name& engine,
                    const std::vector<core::prefix::scoped_part>& parts,
                    std::uint64_t prefill_tokens);
    /// Records that an engine reported newer weights, for the next notice.
    void queue_seen_weights(peer::observed_weights weights);
    /// Sends an announcement of the rollout to the routers of all blocks without delay: an engine
    /// refuses requests while it loads weights.
    void announce(const rollout_announcement& announcement);
    /// Sends an engine's limit to the routers of all blocks: without delay, or with the next notice
    /// if limits were sent within the interval of notices.
    void announce_limit(const peer::stated_engine_limit& limit);
    /// Sets whether this router has lost its paths to all engines, and announces it to the routers
    /// of all blocks: at once, and repeatedly while they are lost. Meanwhile other routers follow
    /// the holders that this one followed.
    void announce_paths(bool lost);
    /// Queues changes of a holder that this router follows for the next notice.
    void queue_holder_changes(peer::holder_changes changes);

    /// @return whether this router follows the holder on behalf of its block.
    bool follows(const base::engine_name& holder, const base::zone_name& zone) const {
        return m_group.follows(holder, zone, m_ports.scheduler.now());
    }
    /// @return the number of routers in this router's block, itself included. Their load is known.
    std::size_t block_size() const { return m_group.block_size(m_ports.scheduler.now()); }
    /// @return whether all peers of the block that are live have reported their loads since they
    /// knew of the version.
    bool reports_are_current(const std::string& model, std::uint64_t version) const {
        return m_ports.loads.is_current(m_group.live(m_ports.scheduler.now()), model, version);
    }
    /// @return the number of peers that sent a notice recently.
    std::size_t live_peers() const { return m_group.live(m_ports.scheduler.now()).size(); }
    /// @return whether no peer was heard recently although there are peers.
    bool is_isolated() const { return m_group.is_isolated(m_ports.scheduler.now()); }
    std::uint64_t notices_sent() const { return m_notices_sent; }
    std::uint64_t notices_malformed() const { return m_notices_malformed; }

  private:
    static constexpr std::string_view component = "relay.peers";

    struct newest_version {
        std::uint64_t version = 0;
        base::monotonic_time known_since{};
    };
    struct pending_limit {
        peer::stated_engine_limit limit;
        base::monotonic_time as_of{};
    };

    runtime::task<void> run();
    void notify_prompt_sent(const base::engine_name& engine) const;
    void send_pending();
    void log_liveness_changes(base::monotonic_time now);
    void report_gone_peers(base::monotonic_time now);
    void send_load(base::monotonic_time now);
    /// Updates `m_known_weights`. @return whether a version is new.
    bool update_known_weights(base::monotonic_time now);
    /// @return the versions for the next notice.
    std::vector<core::placement::known_weights> next_known_weights(base::monotonic_time now);
    void send_changes(base::monotonic_time now);
    void send_limits(base::monotonic_time now);
    void send_paths(base::monotonic_time now);
    void send(const peer::traffic_notice& notice, base::monotonic_time now);
    void send_to(const std::vector<base::endpoint>& targets, const peer::traffic_notice& notice);
    peer::traffic_notice new_notice() const;
    /// @return the largest loads, the largest first.
    std::vector<core::placement::router_load> own_loads(base::monotonic_time now) const;

    peer_exchange_ports m_ports;
    peer_address m_self;
    peer_group m_group;
    std::function<void(const peer::holder_changes&)> m_on_changes;
    std::function<void(const base::engine_name&)> m_on_prompt_sent;
    std::function<void(const base::router_name&)> m_on_peer_gone;
    base::monotonic_time m_gone_reported_at{};
    peer_exchange_settings m_settings;
    std::vector<core::placement::router_load> m_sent_loads;  ///< As last sent to peers.
    base::monotonic_time m_loads_sent_at{};
    std::function<std::vector<core::placement::known_weights>()> m_newest_weights;
    std::map<std::string, newest_version> m_known_weights;  ///< By model.
    std::size_t m_known_weights_sent = 0;                   ///< Entries sent so far.
    std::vector<peer::observed_weights> m_pending_weights;
    std::vector<peer::expected_state> m_pending_expected;
    std::vector<peer::holder_changes> m_pending_changes;
    std::vector<pending_limit> m_pending_limits;
    base::monotonic_time m_limits_sent_at{};
    std::function<void(const peer::stated_engine_limit&, const base::router_name&)>
        m_on_limit_announced;
    std::function<void(const base::router_name&, bool)> m_on_paths_announced;
    bool m_paths_lost = false;
    base::monotonic_time m_paths_sent_at{};
    std::set<base::router_name> m_logged_live;  ///< As last written to the log.
    std::uint64_t m_notices_sent = 0;
    std::uint64_t m_notices_malformed = 0;
    /// Set while a peer's notice is applied: weights seen meanwhile are not passed on.
    bool m_applying_notice = false;
    bool m_running = false;  ///< Input is dropped while this is false.
};

}  // namespace ferryroad::relay
