#include "ferryroad/relay/forwarding_routers.hpp"

#include <numeric>
#include <utility>

namespace ferryroad::relay {

namespace {

bool is_after(const std::map<base::router_name, base::monotonic_time>& times,
              const base::router_name& router, base::monotonic_time now) {
    const auto found = times.find(router);
    return found != times.end() && found->second > now;
}

}  // namespace

forwarding_routers::forwarding_routers(base::router_name self, base::zone_name zone,
                                       core::topology::zone_map zones, forwarding_tunables tunables)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_zones(std::move(zones)),
      m_tunables(tunables) {}

void forwarding_routers::set_routers(const std::vector<peer_address>& present) {
    m_present.clear();
    std::set<base::router_name> names;
    for (const peer_address& one : present) {
        names.insert(one.name);
        if (one.name != m_self && one.forward.port != 0) {
            m_present.push_back(one);
        }
    }
    const auto is_absent = [&](const auto& entry) { return !names.contains(entry.first); };
    std::erase_if(m_lost_until, is_absent);
    std::erase_if(m_paused_until, is_absent);
    std::erase_if(m_heard_at, is_absent);
}

void forwarding_routers::record_announcement(const base::router_name& router, bool lost,
                                             base::monotonic_time now) {
    m_heard_at[router] = now;
    if (lost) {
        m_lost_until[router] = now + m_tunables.announced_loss;
    } else {
        m_lost_until.erase(router);
    }
}

void forwarding_routers::record_failure(const base::router_name& router, forward_failure failure,
                                        base::monotonic_time now) {
    const bool busy = failure == forward_failure::busy;
    m_paused_until[router] = now + (busy ? m_tunables.busy_pause : m_tunables.failure_pause);
}

void forwarding_routers::record_unreachable(const base::router_name& router,
                                            base::monotonic_time now) {
    m_paused_until[router] = now + m_tunables.failure_pause;
}

std::vector<const peer_address*> forwarding_routers::candidates(
    const std::set<base::router_name>& tried, base::monotonic_time now) const {
    using core::topology::distance;
    std::vector<const peer_address*> found;
    for (const distance most :
         {distance::same_zone, distance::other_zone, distance::other_region}) {
        found.clear();
        std::size_t all = 0;
        for (const peer_address& one : m_present) {
            if (m_zones.between(m_zone, one.zone) > most) {
                continue;
            }
            ++all;
            if (is_candidate(one, tried, now)) {
                found.push_back(&one);
            }
        }
        if (found.size() * 2 > all) {
            break;
        }
    }
    return found;
}

std::optional<peer_address> forwarding_routers::choose(const std::set<base::router_name>& tried,
                                                       base::random_source& random,
                                                       base::monotonic_time now) const {
    const auto rank_of = [&](const peer_address& one) {
        const auto heard = m_heard_at.find(one.name);
        const bool recent =
            heard != m_heard_at.end() && now - heard->second < m_tunables.recently_heard;
        return std::pair(!recent, in_progress_at(one.name));
    };
    std::vector<const peer_address*> best;
    for (const peer_address* one : candidates(tried, now)) {
        if (!best.empty() && rank_of(*one) < rank_of(*best.front())) {
            best.clear();
        }
        if (best.empty() || rank_of(*one) == rank_of(*best.front())) {
            best.push_back(one);
        }
    }
    return best.empty() ? std::nullopt : std::optional(*best[random.below(best.size())]);
}

bool forwarding_routers::is_candidate(const peer_address& router,
                                      const std::set<base::router_name>& tried,
                                      base::monotonic_time now) const {
    return !tried.contains(router.name) && !is_after(m_lost_until, router.name, now) &&
           !is_after(m_paused_until, router.name, now);
}

std::size_t forwarding_routers::in_progress_at(const base::router_name& router) const {
    const auto found = m_in_progress.find(router);
    return found == m_in_progress.end() ? 0 : found->second;
}

std::size_t forwarding_routers::in_progress() const {
    return std::accumulate(m_in_progress.begin(), m_in_progress.end(), std::size_t{0},
                           [](std::size_t sum, const auto& one) { return sum + one.second; });
}

forwarding_routers::request_in_progress::~request_in_progress() {
    const auto found = m_routers.m_in_progress.find(m_router);
    if (--found->second == 0) {
        m_routers.m_in_progress.erase(found);
    }
}

}  // namespace ferryroad::relay
