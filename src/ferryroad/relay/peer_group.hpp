/// @file
/// The routers that a router exchanges traffic notices with, and which of them follows a
/// holder's event stream for all. Large deployments are cut into blocks within zones, so that the
/// number of datagrams a router sends does not grow with the number of routers, and few of them
/// leave the zone.
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

/// A router as others reach it.
struct peer_address {
    base::router_name name;
    base::zone_name zone;
    base::endpoint address;
    /// Nothing where a router doesn't say, as in its notices.
    coordination::reading::link_capacity link = {};

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

/// @return what a router says of itself to the others, beside its name.
std::string encode_peer_note(const peer_address& peer);
/// @return nothing where the note names no address.
std::optional<peer_address> decode_peer_note(const base::router_name& name, std::string_view note);

struct peer_group_tunables {
    core::topology::zone_map zones;  ///< With their regions.
    /// A deployment of no more routers is one block over all zones: some 400 datagrams a second
    /// at the pace of the exchange. Measured at 69 routers in 4 zones (design note 0055).
    std::size_t whole = 20;
    /// Routers of a block within a zone at most, this one included. As each holder is followed
    /// once for each block, and an engine takes some 10 followers, a block is a whole zone in all
    /// but the largest; the exchange's pace keeps the number of datagrams as it is.
    std::size_t block = 64;
    /// A peer that was not heard for so long does no work for others.
    base::duration live_for = std::chrono::milliseconds(1500);
    /// The same, and it is not sent to any more, unless it is declared.
    base::duration known_for = std::chrono::seconds(16);
    /// A peer that is declared and silent for so long is gone: longer than most restarts, and than
    /// machines stand still.
    base::duration gone_after = std::chrono::seconds(12);
};

/// Not thread-safe.
class peer_group {
  public:
    explicit peer_group(peer_address self, peer_group_tunables tunables = {});
    peer_group(peer_group&&) = default;
    peer_group(const peer_group&) = delete;
    peer_group& operator=(peer_group&&) = delete;
    peer_group& operator=(const peer_group&) = delete;
    ~peer_group() = default;

    /// Takes the whole list of routers that are present, this one among them or not.
    void declare(const std::vector<peer_address>& present, base::monotonic_time now = {});
    /// A notice came from a router.
    void heard(const peer_address& peer, base::monotonic_time now);

    /// @return the number of routers in this one's block, itself included.
    std::size_t block_size(base::monotonic_time now) const { return block(now).size() + 1; }
    /// @return the other routers of this one's block.
    std::vector<base::endpoint> targets(base::monotonic_time now) const;
    /// @return all other routers that are known, of whatever block.
    std::vector<base::endpoint> everyone(base::monotonic_time now) const;
    /// @return whether this router follows the holder for its block: one that is alive and as near
    /// to the holder as there is one.
    bool follows(const base::engine_name& holder, const base::zone_name& zone,
                 base::monotonic_time now) const;
    /// @return the peers heard a moment ago.
    std::set<base::router_name> live(base::monotonic_time now) const;
    /// @return routers of the block and this zone that are gone, and that it is up to this one to
    /// say so: of those that are alive it ranks first for them.
    std::vector<base::router_name> gone(base::monotonic_time now) const;

  private:
    struct known_peer {
        peer_address peer;
        bool declared = false;
        base::monotonic_time declared_at{};
        std::optional<base::monotonic_time> heard_at;
    };

    /// A peer that a holder belongs to rather than to this router.
    using nearer_peers = std::unordered_map<base::engine_name, const known_peer*>;

    bool ranks_first_for(const base::router_name& name, base::monotonic_time now) const;
    bool is_live(const known_peer& one, base::monotonic_time now) const;
    bool is_known(const known_peer& one, base::monotonic_time now) const;
    /// @return the other routers of the block, from the cache while it holds.
    const std::vector<const known_peer*>& block(base::monotonic_time now) const;
    std::vector<const known_peer*> make_block(base::monotonic_time now) const;
    /// @return when the first of those who were only heard is known no more.
    base::monotonic_time next_expiry(base::monotonic_time now) const;

    peer_address m_self;
    peer_group_tunables m_tunables;
    std::map<base::router_name, known_peer> m_peers;
    /// Made anew where the routers that are known changed, and at `m_block_until`.
    mutable std::optional<std::vector<const known_peer*>> m_block;
    mutable base::monotonic_time m_block_until{};
    /// One for each holder that was asked for, of this block: while it lives, this router doesn't
    /// follow the holder. Without it, each look ranks all peers of the block for each holder.
    mutable nearer_peers m_nearer;
};

}  // namespace ferryroad::relay
