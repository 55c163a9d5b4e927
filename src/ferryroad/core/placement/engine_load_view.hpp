/// @file
/// Load on engines from the requests of other routers, as reported by them. Each report is
/// complete: it replaces the sender's previous one and expires if the sender stops reporting.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace ferryroad::core::placement {

/// One router's requests at one engine.
struct router_load {
    base::engine_name engine;
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;  ///< Prompt tokens of requests without a first event yet.
    base::duration refuses_for{};      ///< Remaining time for which the engine refuses requests.
    /// Requests that store prompt state and can't be sent to another engine.
    std::uint32_t pinned_writers = 0;

    friend bool operator==(const router_load&, const router_load&) = default;
};

/// Requests of all other routers at one engine.
struct peer_load {
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;
    bool refuses = false;
    std::uint32_t pinned_writers = 0;  ///< See `router_load`.

    friend bool operator==(const peer_load&, const peer_load&) = default;
};

/// Not thread-safe.
class engine_load_view {
  public:
    /// @param lifetime time after which a report expires.
    explicit engine_load_view(base::duration lifetime = std::chrono::milliseconds(1500))
        : m_lifetime(lifetime) {}

    /// Replaces the report of a router.
    /// @param loads all engines that the sender has requests at.
    void state(const base::router_name& sender, std::vector<router_load> loads,
               base::monotonic_time now);
    /// Drops the report of a router that has left.
    void forget(const base::router_name& sender) { m_reports.erase(sender); }
    /// @return the sum over all routers, by engine. Each call computes it anew.
    std::map<base::engine_name, peer_load> totals(base::monotonic_time now) const;

  private:
    struct report {
        std::vector<router_load> loads;
        base::monotonic_time received_at{};
    };

    base::duration m_lifetime;
    std::map<base::router_name, report> m_reports;
};

}  // namespace ferryroad::core::placement
