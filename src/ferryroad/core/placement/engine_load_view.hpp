/// @file
/// Load on engines from the requests of other routers, as reported by them. Each report is
/// complete: it replaces the sender's previous one and expires if the sender stops reporting, but
/// for requests that rely on an engine's weights, which may outlast their router.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
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
    /// Time until all requests that rely on the engine's weights, also those that were given up,
    /// have ended at the latest; zero if there are none.
    base::duration state_used_for{};

    friend bool operator==(const router_load&, const router_load&) = default;
};

/// Requests of all other routers at one engine.
struct peer_load {
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0;
    bool refuses = false;
    std::uint32_t pinned_writers = 0;  ///< See `router_load`.
    base::duration state_used_for{};   ///< See `router_load`.

    friend bool operator==(const peer_load&, const peer_load&) = default;
};

/// Newest version of a model's weights that a router knows of.
struct known_weights {
    std::string model;
    std::uint64_t version = 0;

    friend bool operator==(const known_weights&, const known_weights&) = default;
};

/// Not thread-safe.
class engine_load_view {
  public:
    /// @param lifetime time after which a report expires.
    explicit engine_load_view(base::duration lifetime = std::chrono::milliseconds(1500))
        : m_lifetime(lifetime) {}

    /// Replaces the report of a router.
    /// @param loads all engines that the sender has requests at.
    /// @param weights versions that the sender knew of as it made the report. Those that it has
    /// reported before need not be repeated.
    void state(const base::router_name& sender, std::vector<router_load> loads,
               base::monotonic_time now, const std::vector<known_weights>& weights = {});
    /// @return whether each of the routers has reported since it knew of the version. It sends
    /// no more requests that store state under older weights from then on.
    bool is_current(const std::set<base::router_name>& routers, const std::string& model,
                    std::uint64_t version) const;
    /// Drops the report of a router that has left.
    void forget(const base::router_name& sender) { m_reports.erase(sender); }
    /// @return the sum over all routers, by engine. Each call computes it anew.
    std::map<base::engine_name, peer_load> totals(base::monotonic_time now) const;

  private:
    struct report {
        std::vector<router_load> loads;
        base::monotonic_time received_at{};
        std::map<std::string, std::uint64_t> weights;  ///< Newest known version by model.
    };

    base::duration m_lifetime;
    std::map<base::router_name, report> m_reports;
};

}  // namespace ferryroad::core::placement
