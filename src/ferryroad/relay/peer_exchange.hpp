/// @file
/// Exchanges traffic notices with the other routers of the block: the load that each puts on
/// engines, prompts that engines were just asked to read, versions of weights seen, and what
/// holders told of the state that they keep.
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
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::relay {

struct exchange_settings {
    core::topology::zone_map zones;  ///< With their regions.
    /// Between two notices, unless one is urgent.
    base::duration pace = std::chrono::milliseconds(50);
    /// The same at least for each router of the block: a notice goes to all of them, so that the
    /// datagrams that a router sends and gets do not grow with the block.
    base::duration pace_per_router = std::chrono::milliseconds(6);
    /// A router with nothing new says so this often: it is alive.
    base::duration heartbeat = std::chrono::milliseconds(500);
    /// Between two looks for routers that are gone.
    base::duration gone_pace = std::chrono::seconds(3);
    /// A prompt of which this much must be read is told of at once.
    std::uint64_t urgent_tokens = 1000;
    /// Weights of a notice that tells nothing else.
    std::size_t weights = 16;
    /// Of a notice, so that it fits into a datagram; the rest goes into the next one.
    std::size_t loads = 24;
    std::size_t parts = 64;
};

/// What the router that brings engines to new weights knows of them before others.
struct rollout_news {
    std::vector<peer::loading_weights> loading;
    std::vector<peer::seen_weights> loaded;

    bool empty() const { return loading.empty() && loaded.empty(); }
    friend bool operator==(const rollout_news&, const rollout_news&) = default;
};

/// What it stands on; everything outlives it.
struct exchange_ports {
    runtime::scheduler& scheduler;
    peer::transport& transport;
    engine_registry& registry;
    core::placement::warm_state& warm;
    core::placement::engine_load_view& loads;
};

/// Used from the event loop's thread; kept until the loop has ended.
class peer_exchange {
  public:
    /// @param learned told of changes at holders that peers follow.
    peer_exchange(exchange_ports ports, const peer_address& self,
                  std::function<void(const peer::holder_changes&)> learned,
                  exchange_settings settings = {});

    /// @param told of each engine that this router or a peer sent a prompt to.
    void on_expected(std::function<void(const base::engine_name&)> told) {
        m_expected_told = std::move(told);
    }

    /// Called once, before any traffic.
    void start();
    void stop() { m_running = false; }

    /// Takes a datagram that is a notice, or says so.
    void take(const base::endpoint& from, std::string_view bytes);

    /// Takes the routers that are present.
    void set_routers(const std::vector<peer_address>& present) {
        m_group.declare(present, m_ports.scheduler.now());
    }
    /// @param told of each router that is present by the list, and hasn't been heard for long; once
    /// in `gone_pace` while it stays so.
    void on_gone(std::function<void(const base::router_name&)> told) {
        m_gone_told = std::move(told);
    }
    /// An engine was asked to read a prompt; called once its load is counted.
    /// @param prefill_tokens expected to be read anew.
    void dispatched(const base::engine_name& engine,
                    const std::vector<core::prefix::scoped_part>& parts,
                    std::uint64_t prefill_tokens);
    /// An engine showed new weights.
    void saw_weights(peer::seen_weights seen);
    /// What this router brings engines to is told to all routers at once, of whatever block: a
    /// request that goes to an engine which loads is refused there.
    void announce(const rollout_news& news);
    /// A holder that this router follows told of changes.
    void tell(peer::holder_changes changes);

    /// @return whether this router follows the holder for the others.
    bool follows(const base::engine_name& holder, const base::zone_name& zone) const {
        return m_group.follows(holder, zone, m_ports.scheduler.now());
    }
    /// @return routers of this one's block, itself included: those whose load is known here.
    std::size_t block_size() const { return m_group.block_size(m_ports.scheduler.now()); }
    /// @return peers heard a moment ago.
    std::size_t live_peers() const { return m_group.live(m_ports.scheduler.now()).size(); }
    std::uint64_t notices_sent() const { return m_notices_sent; }
    std::uint64_t notices_malformed() const { return m_notices_malformed; }

  private:
    static constexpr std::string_view component = "relay.peers";

    runtime::task<void> run();
    void note_expected(const base::engine_name& engine) const;
    void send_news();
    void note_live_peers(base::monotonic_time now);
    void tell_gone(base::monotonic_time now);
    void send_load(base::monotonic_time now);
    void send_changes(base::monotonic_time now);
    void send(const peer::traffic_notice& notice, base::monotonic_time now);
    void send_to(const std::vector<base::endpoint>& targets, const peer::traffic_notice& notice);
    peer::traffic_notice blank() const;
    std::vector<core::placement::stated_load> own_loads(base::monotonic_time now) const;

    exchange_ports m_ports;
    peer_address m_self;
    peer_group m_group;
    std::function<void(const peer::holder_changes&)> m_learned;
    std::function<void(const base::engine_name&)> m_expected_told;
    std::function<void(const base::router_name&)> m_gone_told;
    base::monotonic_time m_gone_told_at{};
    exchange_settings m_settings;
    std::vector<core::placement::stated_load> m_stated;  ///< What peers were told last.
    base::monotonic_time m_stated_at{};
    std::vector<peer::seen_weights> m_weights;
    std::vector<peer::expected_state> m_expected;
    std::vector<peer::holder_changes> m_changes;
    std::set<base::router_name> m_live;  ///< As last noted in the log.
    std::uint64_t m_notices_sent = 0;
    std::uint64_t m_notices_malformed = 0;
    bool m_taking = false;   ///< What is seen now was told by a peer.
    bool m_running = false;  ///< What is told before or after is dropped.
};

}  // namespace ferryroad::relay
