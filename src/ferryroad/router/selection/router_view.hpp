/// @file
/// The live routers as the shared index sees them: who owns a root, and who is too new or too
/// unresponsive to be relied on alone.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/prefix/ownership.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ferryroad::router::selection {

/// Owner and standby of a root, as contacts.
struct root_place {
    router_contact owner;
    std::optional<router_contact> standby;
};

class router_view {
  public:
    /// @param source outlives the view.
    /// @param warm_up a router that appeared later than this ago may lack reports.
    router_view(const live_routers& source, base::router_name self, base::duration warm_up,
                base::duration avoid_failed_for);

    /// Reads the live routers. Called before the questions below.
    void refresh(base::monotonic_time now);

    std::size_t count() const { return contacts_.size(); }
    bool is_self(const router_contact& router) const { return router.name == self_; }
    /// @return nothing where no router lives.
    std::optional<root_place> place_of(base::piece_hash root) const;
    std::optional<router_contact> find(const base::router_name& router) const;
    /// @return true where the router started, or came into view, a short while ago.
    bool warming_up(const router_contact& router, base::monotonic_time now) const;

    void record_failure(const router_contact& router, base::monotonic_time now);
    /// @return true where an exchange with it failed a moment ago.
    bool avoided(const router_contact& router, base::monotonic_time now) const;

  private:
    struct known_router {
        base::incarnation incarnation;
        std::optional<base::monotonic_time> appeared_at;  ///< Nothing: before us.
        std::optional<base::monotonic_time> failed_at;
    };

    const live_routers& source_;
    base::router_name self_;
    base::duration warm_up_;
    base::duration avoid_failed_for_;
    bool refreshed_ = false;
    std::vector<router_contact> contacts_;
    std::vector<base::router_name> names_;  ///< Of `contacts_`, in their order.
    std::unordered_map<base::router_name, known_router> known_;
};

}  // namespace ferryroad::router::selection
