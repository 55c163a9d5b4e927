/// @file
/// Decides which routers a router exchanges traffic notices with, and which of them follows a
/// holder's event stream on behalf of the others. Large deployments are divided into blocks within
/// zones, so that the number of datagrams that a router sends does not grow with the number of
/// routers, and few datagrams leave the zone.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/reading/reading_tree.hpp"
#include "ferryroad/core/topology/zone_map.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferryroad::relay {

/// Name, zone and address of a router, as other routers use them.
struct peer_address {
    base::router_name name;
    base::zone_name zone;
    base::endpoint address;
    /// Zero where the router does not state it, as in its notices.
    coordination::reading::link_capacity link = {};
    /// Where the router passes requests on to engines for others; port 0 if it does not, or in
    /// notices.
    base::endpoint forward = {};

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

/// @return the text that a router publishes beside its name: address, zone and, if known, link and
/// forwarding port, which is one of the same machine.
std::string encode_peer_note(const peer_address& peer);
/// @return the router, or nothing where the note has no valid address and zone.
std::optional<peer_address> decode_peer_note(const base::router_name& name, std::string_view note);

struct peer_group_tunables {
    core::topology::zone_map zones;  ///< Zones and the regions they belong to.
    /// A deployment with at most this many routers is one block over all zones. At the interval of
    /// the notices, that is some 400 datagrams per second.
    std::size_t max_undivided = 20;
    /// Most routers in a block within a zone, this router included. Each block follows each holder
    /// once, and an engine accepts some 10 followers, so a block covers a whole zone in all but the
    /// largest deployments. The interval of the notices grows with the block, which bounds the
    /// number of datagrams.
    std::size_t max_block_size = 64;
    /// A peer that has been silent for this long is not live: it follows no holders for others.
    base::duration live_timeout = std::chrono::milliseconds(1500);
    /// After this much silence a peer is not sent to any more, unless it is declared.
    base::duration forget_after = std::chrono::seconds(16);
    /// A declared peer that has been silent for longer is gone. Most restarts and stalls of a
    /// machine are shorter.
    base::duration gone_after = std::chrono::seconds(12);
};

/// The routers that one router knows, and its block among them. Not thread-safe.
class peer_group {
  public:
    explicit peer_group(peer_address self, peer_group_tunables tunables = {});
    peer_group(peer_group&&) = default;
    peer_group(const peer_group&) = delete;
    peer_group& operator=(peer_group&&) = delete;
    peer_group& operator=(const peer_group&) = delete;
    ~peer_group() = default;

    /// Replaces the list of declared routers, those that are present. This router may be among
    /// them.
    void declare(const std::vector<peer_address>& present, base::monotonic_time now = {});
    /// Records that a notice arrived from a router.
    /// @param paths_lost whether that router reaches no engine.
    void record_notice(const peer_address& peer, base::monotonic_time now, bool paths_lost = false);
    /// Sets whether this router reaches no engine, so that it can follow none.
    void set_paths_lost(bool lost) { m_paths_lost = lost; }

    /// @return the number of routers in this router's block, itself included.
    std::size_t block_size(base::monotonic_time now) const { return block(now).size() + 1; }
    /// @return the addresses of the other routers of this router's block.
    std::vector<base::endpoint> targets(base::monotonic_time now) const;
    /// @return the addresses of all other known routers, in all blocks.
    std::vector<base::endpoint> all_peers(base::monotonic_time now) const;
    /// @return whether this router follows the holder for its block. Of the live routers nearest to
    /// the holder, one does.
    /// @param zone of the holder.
    bool follows(const base::engine_name& holder, const base::zone_name& zone,
                 base::monotonic_time now) const;
    /// @return the peers of the block that sent a notice recently.
    std::set<base::router_name> live(base::monotonic_time now) const;
    /// @return whether no peer of the block sent a notice recently although there are peers.
    bool is_isolated(base::monotonic_time now) const;
    /// @return routers of the block and of this zone that are gone and that this router has to
    /// report, because it ranks first for them among the live routers.
    std::vector<base::router_name> gone(base::monotonic_time now) const;

  private:
    struct known_peer {
        peer_address peer;
        bool declared = false;
        base::monotonic_time declared_at{};
        std::optional<base::monotonic_time> heard_at;
        bool paths_lost = false;  ///< It announced that it reaches no engine.
    };

    /// For each holder a peer that ranks before this router as its follower.
    using nearer_peers = std::unordered_map<base::engine_name, const known_peer*>;

    bool ranks_first_for(const base::router_name& name, base::monotonic_time now) const;
    bool is_live(const known_peer& one, base::monotonic_time now) const;
    /// @return whether the peer can follow holders.
    bool may_follow(const known_peer& one, base::monotonic_time now) const {
        return is_live(one, now) && !one.paths_lost;
    }
    bool is_known(const known_peer& one, base::monotonic_time now) const;
    /// @return the other routers of the block, from the cache while that is valid.
    const std::vector<const known_peer*>& block(base::monotonic_time now) const;
    std::vector<const known_peer*> compute_block(base::monotonic_time now) const;
    /// @return the earliest time at which a known peer that is not declared is forgotten.
    base::monotonic_time next_expiry(base::monotonic_time now) const;

    peer_address m_self;
    peer_group_tunables m_tunables;
    bool m_paths_lost = false;
    std::map<base::router_name, known_peer> m_peers;
    /// Cache. Computed again when the known routers have changed, and at `m_block_expiry`.
    mutable std::optional<std::vector<const known_peer*>> m_block;
    mutable base::monotonic_time m_block_expiry{};
    /// Cache for `follows`, for the current block: while the peer is live, this router does not
    /// follow the holder. Without it, each call would rank all peers of the block.
    mutable nearer_peers m_nearer_peers;
};

}  // namespace ferryroad::relay
