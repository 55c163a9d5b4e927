#include "ferryroad/router/selection/router_view.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router::selection {

router_view::router_view(const live_routers& source, base::router_name self, base::duration warm_up,
                         base::duration avoid_failed_for)
    : source_(source),
      self_(std::move(self)),
      warm_up_(warm_up),
      avoid_failed_for_(avoid_failed_for) {}

void router_view::refresh(base::monotonic_time now) {
    contacts_ = source_.live();
    names_.clear();
    std::unordered_map<base::router_name, known_router> present;
    for (const router_contact& contact : contacts_) {
        names_.push_back(contact.name);
        known_router router{contact.incarnation, now, std::nullopt};
        const auto before = known_.find(contact.name);
        if (before != known_.end() && before->second.incarnation == contact.incarnation) {
            router = before->second;
        } else if (!refreshed_ && !is_self(contact)) {
            router.first_seen_at.reset();
        }
        present.emplace(contact.name, router);
    }
    known_ = std::move(present);
    refreshed_ = true;
}

std::optional<root_owners> router_view::find_owners(base::piece_hash root) const {
    const auto owners = core::prefix::owners_of(root, names_);
    if (!owners) {
        return std::nullopt;
    }
    root_owners contacts{contacts_[owners->owner], std::nullopt};
    if (owners->standby) {
        contacts.standby = contacts_[*owners->standby];
    }
    return contacts;
}

std::optional<router_contact> router_view::find(const base::router_name& router) const {
    const auto found =
        std::find_if(contacts_.begin(), contacts_.end(),
                     [&router](const router_contact& each) { return each.name == router; });
    return found == contacts_.end() ? std::nullopt : std::optional(*found);
}

bool router_view::is_warming_up(const router_contact& router, base::monotonic_time now) const {
    const auto known = known_.find(router.name);
    return known != known_.end() && known->second.first_seen_at &&
           now - *known->second.first_seen_at < warm_up_;
}

void router_view::record_failure(const router_contact& router, base::monotonic_time now) {
    const auto known = known_.find(router.name);
    if (known != known_.end()) {
        known->second.failed_at = now;
    }
}

bool router_view::is_avoided(const router_contact& router, base::monotonic_time now) const {
    const auto known = known_.find(router.name);
    return known != known_.end() && known->second.failed_at &&
           now - *known->second.failed_at < avoid_failed_for_;
}

}  // namespace ferryroad::router::selection
