/// @file
/// Bytes that this router exchanges, by how far they go and what they are: what operators read off
/// which traffic crosses regions.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/relay/peer_group.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryroad::relay {

/// What the bytes are.
enum class traffic_kind {
    request,      ///< To engines, callers' headers and bodies.
    answer,       ///< Bodies from engines.
    state_moved,  ///< Prompt state that engines were asked to fetch, as estimated.
    state_event,  ///< What holders tell of their state.
    notice,       ///< Datagrams between routers: loads, state, weights.
    quota,        ///< Datagrams between routers that count limits.
    table         ///< Copies of tables, taken from other routers.
};

std::string_view to_string(traffic_kind kind);

/// Bytes of one kind over one distance, both ways, without the lower layers' framing.
struct metered_bytes {
    traffic_kind kind{};
    core::topology::distance away{};
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const metered_bytes&, const metered_bytes&) = default;
};

/// Used from the event loop's thread.
class distance_meter {
  public:
    distance_meter(base::zone_name self, core::topology::zone_map zones)
        : m_self(std::move(self)), m_zones(std::move(zones)) {}

    /// Takes the routers that are present. Bytes to others count as those within the zone.
    void set_routers(const std::vector<peer_address>& present);

    void add(traffic_kind kind, core::topology::distance away, std::uint64_t bytes);
    void add(traffic_kind kind, const base::zone_name& zone, std::uint64_t bytes) {
        add(kind, m_zones.between(m_self, zone), bytes);
    }
    void add(traffic_kind kind, const base::endpoint& router, std::uint64_t bytes);

    /// @return what was counted, in order of kind and distance.
    std::vector<metered_bytes> totals() const;

  private:
    base::zone_name m_self;
    core::topology::zone_map m_zones;
    std::map<base::endpoint, base::zone_name> m_zone_of;
    std::map<std::pair<traffic_kind, core::topology::distance>, metered_bytes> m_counted;
};

/// A transport as one of its users sees it: what that one sends, and the answers to its calls, are
/// counted as its kind. Collaborators outlive it.
class metered_transport final : public peer::transport {
  public:
    metered_transport(peer::transport& inner, distance_meter& meter, traffic_kind kind)
        : m_inner(inner), m_meter(meter), m_kind(kind) {}

    void on_datagram(datagram_handler handler) override { m_inner.on_datagram(std::move(handler)); }
    void on_call(call_handler handler) override { m_inner.on_call(std::move(handler)); }
    void send(const base::endpoint& to, peer::message_bytes bytes) override;
    runtime::task<peer::result<peer::message_bytes>> call(const base::endpoint& to,
                                                          peer::message_bytes request,
                                                          base::duration limit) override;
    const peer::transport_counters& counters() const override { return m_inner.counters(); }

  private:
    peer::transport& m_inner;
    distance_meter& m_meter;
    traffic_kind m_kind;
};

}  // namespace ferryroad::relay
