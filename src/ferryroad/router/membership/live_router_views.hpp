/// @file
/// Adapters that present the live routers through the interfaces of other services.
#pragma once

#include "ferryroad/router/claims/process_liveness.hpp"
#include "ferryroad/router/membership/live_routers.hpp"
#include "ferryroad/router/selection/prefix_exchange.hpp"

#include <algorithm>
#include <vector>

namespace ferryroad::router::membership {

/// For the shared prefix index.
class selection_view final : public selection::live_routers {
  public:
    /// @param routers outlives the view.
    explicit selection_view(const membership::live_routers& routers) : routers_(routers) {}

    std::vector<selection::router_contact> live() const override {
        std::vector<selection::router_contact> contacts;
        for (const router_info& router : routers_.live()) {
            contacts.push_back({router.name, router.process, router.address});
        }
        return contacts;
    }

  private:
    const membership::live_routers& routers_;
};

/// For the claim registry.
class liveness_view final : public process_liveness {
  public:
    /// @param routers outlives the view.
    explicit liveness_view(const membership::live_routers& routers) : routers_(routers) {}

    bool known_dead(const base::router_name& router, base::incarnation process) const override {
        const std::vector<router_info> known = routers_.known();
        return std::any_of(known.begin(), known.end(), [&](const router_info& other) {
            const bool later = other.process > process;
            const bool dead = other.process == process && other.state == router_state::dead;
            return other.name == router && (later || dead);
        });
    }
    std::size_t live_routers() const override {
        return std::max<std::size_t>(routers_.live().size(), 1);
    }

  private:
    const membership::live_routers& routers_;
};

}  // namespace ferryroad::router::membership
