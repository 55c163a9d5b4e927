/// @file
/// Counts the messages and bytes that this router exchanges, by kind and distance. The metrics show
/// operators which traffic crosses zones and regions.
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

/// Kind of traffic.
enum class traffic_kind {
    request,        ///< Headers and bodies of callers' requests sent to engines.
    answer,         ///< Response bodies from engines.
    state_moved,    ///< KV state that engines were asked to fetch; estimated.
    state_event,    ///< State events from engines and state stores.
    notice,         ///< Datagrams between routers about load, KV state and weights.
    quota,          ///< Datagrams between routers for quota accounting.
    stream_origin,  ///< Datagrams between routers about where streams began.
    table           ///< Table copies fetched from other routers.
};

/// @return the kind's label in the metrics.
std::string_view to_string(traffic_kind kind);

/// Traffic of one kind over one distance, in both directions, without framing of lower layers.
struct metered_bytes {
    traffic_kind kind{};
    core::topology::distance away{};
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const metered_bytes&, const metered_bytes&) = default;
};

/// Must be used on the event loop's thread.
class traffic_meter {
  public:
    traffic_meter(base::zone_name self, core::topology::zone_map zones)
        : m_self(std::move(self)), m_zones(std::move(zones)) {}

    /// Sets the routers whose zones are known. Traffic to any other router counts as same-zone.
    void set_routers(const std::vector<peer_address>& present);

    /// Counts one message of `bytes` over a distance, to a zone, or to a router.
    void add(traffic_kind kind, core::topology::distance away, std::uint64_t bytes);
    void add(traffic_kind kind, const base::zone_name& zone, std::uint64_t bytes) {
        add(kind, m_zones.between(m_self, zone), bytes);
    }
    void add(traffic_kind kind, const base::endpoint& router, std::uint64_t bytes);

    /// @return the counts, sorted by kind and distance.
    std::vector<metered_bytes> totals() const;

  private:
    base::zone_name m_self;
    core::topology::zone_map m_zones;
    std::map<base::endpoint, base::zone_name> m_zone_of;
    std::map<std::pair<traffic_kind, core::topology::distance>, metered_bytes> m_counted;
};

/// Decorates a transport: counts what is sent through it, and the answers to calls made through it,
/// as one kind of traffic. The objects passed to the constructor must outlive it.
class metered_transport final : public peer::transport {
  public:
    metered_transport(peer::transport& inner, traffic_meter& meter, traffic_kind kind)
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
    traffic_meter& m_meter;
    traffic_kind m_kind;
};

}  // namespace ferryroad::relay
