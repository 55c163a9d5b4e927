/// @file
/// Gossip content of one member: member updates, notices and the revision, within a limit of
/// entries per second.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/membership/member_table.hpp"
#include "ferryroad/coordination/membership/messages.hpp"
#include "ferryroad/coordination/membership/settings.hpp"
#include "ferryroad/coordination/membership/update_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ferryroad::coordination::membership {

/// Adds gossip to outgoing datagrams. Not thread-safe.
class dissemination {
  public:
    /// @param settings, self, table must outlive this object.
    dissemination(const detector_settings& settings, const member_update& self,
                  const member_table& table, base::monotonic_time now);

    /// Must be called first in each event: replenishes the allowance of entries and drops entries
    /// that are too old.
    void advance(base::monotonic_time now);
    /// The state of a member, or of this one, has changed.
    void member_changed(const base::router_name& name);
    /// Another member was found not to know the current state of `name`.
    void peer_lacks_member(const base::router_name& name);
    /// The view of another member was found to be equal to this one's.
    void view_matched();
    /// Queues a notice for all members.
    /// @return whether the notice was not known before.
    bool spread(const notice& message);
    /// @return whether the revision was higher than the previous one.
    bool set_revision(std::uint64_t revision);
    std::uint64_t revision() const { return revision_; }

    /// @return whether there is enough to send to justify a datagram without a probe.
    bool has_updates() const;
    /// Adds the revision to `message` and, within the size limits and the allowance, notices and
    /// member updates.
    /// @param receiver null if unknown.
    void fill(datagram& message, const member_record* receiver);

  private:
    struct stored_notice {
        notice message;
        base::monotonic_time since;
    };
    struct latest_change {
        base::router_name name;
        base::monotonic_time at;
    };

    void add_notices(datagram& message);
    void add_updates(datagram& message, const member_record* receiver);
    void add_repairs(datagram& message);
    void add_member(datagram& message, const base::router_name& name);
    std::uint32_t transmission_limit() const;
    std::size_t take_allowance(std::size_t wanted);

    const detector_settings& settings_;
    const member_update& self_;
    const member_table& table_;
    update_queue member_updates_;
    update_queue notice_updates_;
    std::map<std::string, stored_notice> notices_;
    std::deque<latest_change> latest_;  ///< Newest first.
    std::uint64_t revision_ = 0;
    std::uint32_t revision_transmissions_left_ = 0;
    double allowance_;
    base::monotonic_time now_;
};

}  // namespace ferryroad::coordination::membership
