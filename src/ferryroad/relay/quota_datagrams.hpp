/// @file
/// Asks about limits, and their answers, as datagrams between routers: lost now and then, never
/// waited for long.
#pragma once

#include "ferryroad/peer/messages.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/relay/peer_group.hpp"
#include "ferryroad/runtime/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferryroad::relay {

/// Decides what another router asks.
using decide_ask = std::function<coordination::quota::quota_verdict(
    const base::router_name&, const coordination::quota::quota_ask&)>;

/// Used from the event loop's thread; outlives its asks, and its ports outlive it.
class quota_datagrams {
  public:
    /// @param answer_within a router that has not answered by then is taken for silent. Several
    /// times the way between zones and back; a small part of what any caller waits.
    quota_datagrams(runtime::scheduler& scheduler, peer::transport& transport,
                    base::router_name self, decide_ask decide,
                    base::duration answer_within = std::chrono::milliseconds(40));

    /// Takes the routers that are present.
    void set_routers(const std::vector<peer_address>& present);
    /// Takes a datagram that is an ask or an answer.
    void take(const base::endpoint& from, std::string_view bytes);
    /// @return nothing where the router's address isn't known, or no answer came in time.
    runtime::task<std::optional<coordination::quota::quota_verdict>> ask(
        base::router_name home, coordination::quota::quota_ask question);

    /// @return datagrams received that made no sense.
    std::uint64_t malformed() const { return m_malformed; }

  private:
    class held_ask;

    void send(const base::endpoint& to, peer::call_body body);

    runtime::scheduler& m_scheduler;
    peer::transport& m_transport;
    base::router_name m_self;
    decide_ask m_decide;
    base::duration m_answer_within;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::unordered_map<std::uint64_t, held_ask*> m_held;  ///< By number.
    std::uint64_t m_next_number;
    std::uint64_t m_malformed = 0;
};

}  // namespace ferryroad::relay
