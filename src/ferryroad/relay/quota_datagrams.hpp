/// @file
/// Requests for quota between routers and the answers to them, as datagrams. A datagram may be
/// lost, and a request waits for its answer only for a short time.
#pragma once

#include "ferryroad/coordination/quota/answer_times.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/peer/messages.hpp"
#include "ferryroad/peer/transport.hpp"
#include "ferryroad/quotas/home_client.hpp"
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

/// Sends this router's requests for quota to the router that counts (the home) and answers those of
/// other routers. Not thread-safe: to be used from the event loop's thread. Must outlive its
/// pending requests; scheduler and transport must outlive it.
class quota_datagrams {
  public:
    /// @param zones tells which routers are in other regions.
    quota_datagrams(runtime::scheduler& scheduler, peer::transport& transport,
                    const peer_address& self, core::topology::zone_map zones,
                    quotas::decide_as_home handler,
                    coordination::quota::answer_time_tunables answer_times = {});

    /// Sets the routers that are present, with their addresses.
    void set_routers(const std::vector<peer_address>& present);
    /// Handles a datagram with a request or an answer; counts it where it is malformed.
    void handle_datagram(const base::endpoint& from, std::string_view bytes);
    /// Sends a request to a router and waits for the answer.
    /// @return the last answer, or nothing where the router's address is unknown or no answer came
    /// in time. A queued request waits for a second answer as long as it asked to.
    runtime::task<std::optional<coordination::quota::quota_verdict>> ask(
        base::router_name home, coordination::quota::quota_ask question);

    /// @return the number of malformed datagrams received.
    std::uint64_t malformed() const { return m_malformed; }
    /// @return the number of answers received after their request had stopped waiting.
    std::uint64_t late_answers() const { return m_late_answers; }

  private:
    class pending_ask;
    /// A request whose sender waits no more.
    struct abandoned_ask {
        base::router_name home;
        base::monotonic_time sent_at{};
    };

    void send(const base::endpoint& to, peer::call_body body);
    void handle_answer(const base::router_name& sender, const peer::quota_grant& grant);
    /// Remembers a request without an answer, so that a late answer tells how long it took.
    void abandon(std::uint64_t number, const base::router_name& home, base::monotonic_time sent_at);

    runtime::scheduler& m_scheduler;
    peer::transport& m_transport;
    base::router_name m_self;
    base::zone_name m_zone;
    core::topology::zone_map m_zones;
    quotas::decide_as_home m_decide;
    coordination::quota::answer_times m_answer_times;
    std::map<base::router_name, base::endpoint> m_addresses;
    std::unordered_map<std::uint64_t, pending_ask*> m_pending;  ///< By the request's number.
    std::map<std::uint64_t, abandoned_ask> m_abandoned;         ///< By the request's number.
    std::uint64_t m_next_number;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_late_answers = 0;
};

}  // namespace ferryroad::relay
