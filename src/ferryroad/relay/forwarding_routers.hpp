/// @file
/// Chooses the router that passes requests on to engines which this router cannot reach.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/random.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/core/topology/zone_map.hpp"
#include "ferryroad/relay/forward_protocol.hpp"
#include "ferryroad/relay/peer_group.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ferryroad::relay {

struct forwarding_tunables {
    /// How long a router's announcement that it has lost its paths holds. Announcements are
    /// repeated several times within it.
    base::duration announced_loss = std::chrono::seconds(3);
    /// How long a router is not asked after it failed to pass a request on: it reached no engine or
    /// could not be reached itself.
    base::duration failure_pause = std::chrono::seconds(1);
    /// The same if it was busy.
    base::duration busy_pause = std::chrono::milliseconds(200);
    /// A router that was heard within this time is preferred to others, which may be frozen. Longer
    /// than the interval at which the routers of a block send notices.
    base::duration recently_heard = std::chrono::milliseconds(1200);
};

/// Does no I/O and reads no clock. Not thread-safe.
class forwarding_routers {
  public:
    /// @param zone of this router.
    forwarding_routers(base::router_name self, base::zone_name zone, core::topology::zone_map zones,
                       forwarding_tunables tunables = {});

    /// Replaces the list of routers. Those without a forwarding address are not chosen.
    void set_routers(const std::vector<peer_address>& present);
    /// Records that a router was heard, and whether it announces that it has lost its paths to all
    /// engines.
    void record_announcement(const base::router_name& router, bool lost, base::monotonic_time now);
    /// Records that a router did not pass a request on.
    void record_failure(const base::router_name& router, forward_failure failure,
                        base::monotonic_time now);
    /// Records that a router could not be reached, or did not answer.
    void record_unreachable(const base::router_name& router, base::monotonic_time now);

    /// Chooses among the routers of this zone if more than half of them may reach engines, else of
    /// this region, else of all, so that a few routers don't get the requests of many.
    /// @param tried routers that must not be chosen.
    /// @return of these routers the one with the fewest requests of this router in progress,
    /// recently heard ones first; among equals, any. Nothing if there is none.
    std::optional<peer_address> choose(const std::set<base::router_name>& tried,
                                       base::random_source& random, base::monotonic_time now) const;

    /// Counts a request that is passed on by a router for its lifetime.
    class request_in_progress {
      public:
        request_in_progress(forwarding_routers& routers, base::router_name router)
            : m_routers(routers), m_router(std::move(router)) {
            ++m_routers.m_in_progress[m_router];
        }
        ~request_in_progress();
        request_in_progress(const request_in_progress&) = delete;
        request_in_progress& operator=(const request_in_progress&) = delete;

      private:
        forwarding_routers& m_routers;
        base::router_name m_router;
    };

    /// @return the number of requests that other routers pass on for this one.
    std::size_t in_progress() const;

  private:
    /// @return the routers to choose from.
    std::vector<const peer_address*> candidates(const std::set<base::router_name>& tried,
                                                base::monotonic_time now) const;
    bool is_candidate(const peer_address& router, const std::set<base::router_name>& tried,
                      base::monotonic_time now) const;
    std::size_t in_progress_at(const base::router_name& router) const;

    base::router_name m_self;
    base::zone_name m_zone;
    core::topology::zone_map m_zones;
    forwarding_tunables m_tunables;
    std::vector<peer_address> m_present;
    /// Until when each router is not chosen.
    std::map<base::router_name, base::monotonic_time> m_lost_until;
    std::map<base::router_name, base::monotonic_time> m_paused_until;
    std::map<base::router_name, base::monotonic_time> m_heard_at;
    std::map<base::router_name, std::size_t> m_in_progress;
};

}  // namespace ferryroad::relay
