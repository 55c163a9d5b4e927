/// @file
/// Snapshot of the live routers for the shared index: which router owns a root, and which routers
/// are warming up or failed recently.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/ownership.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::router::selection {

/// The routers that keep the index of a root.
struct root_owners {
    router_contact owner;
    std::optional<router_contact> standby;
};

/// Tracks the live routers and recent failures to reach them.
class router_view {
  public:
    /// @param source must outlive the view.
    /// @param self name of this router.
    /// @param warm_up time after its start in which a router may still lack reports.
    /// @param avoid_failed_for time after a failed exchange in which a router is avoided.
    router_view(const live_routers& source, base::router_name self, base::duration warm_up,
                base::duration avoid_failed_for);

    /// Reads the live routers. Call this before the queries below.
    void refresh(base::monotonic_time now);

    std::size_t count() const { return contacts_.size(); }
    bool is_self(const router_contact& router) const { return router.name == self_; }
    /// @return owner and standby of `root`; nothing if no router is alive.
    std::optional<root_owners> find_owners(base::piece_hash root) const;
    std::optional<router_contact> find(const base::router_name& router) const;
    /// @return whether the router started or became visible less than `warm_up` ago.
    bool is_warming_up(const router_contact& router, base::monotonic_time now) const;

    /// Records that an exchange with the router failed.
    void record_failure(const router_contact& router, base::monotonic_time now);
    /// @return whether an exchange with the router failed less than `avoid_failed_for` ago.
    bool is_avoided(const router_contact& router, base::monotonic_time now) const;

  private:
    struct known_router {
        base::incarnation incarnation;
        std::optional<base::monotonic_time> first_seen_at;  ///< Empty if present at startup.
        std::optional<base::monotonic_time> failed_at;
    };

    const live_routers& source_;
    base::router_name self_;
    base::duration warm_up_;
    base::duration avoid_failed_for_;
    bool refreshed_ = false;
    std::vector<router_contact> contacts_;
    std::vector<base::router_name> names_;  ///< Names of `contacts_`, in the same order.
    std::unordered_map<base::router_name, known_router> known_;
};

}  // namespace ferryroad::router::selection
