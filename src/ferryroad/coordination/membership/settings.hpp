/// @file
/// Settings of the failure detector.
#pragma once

#include "ferryroad/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace ferryroad::coordination::membership {

/// Settings of the failure detector. The load on a node depends only on these, not on the number of
/// members.
struct detector_settings {
    /// One member is probed per period.
    base::duration probe_period = std::chrono::seconds(1);
    /// If no ack arrives within this time, other members are asked to probe the target as well.
    base::duration direct_timeout = std::chrono::milliseconds(300);
    /// Number of members asked to do so.
    std::uint32_t indirect_probes = 3;

    /// A suspected member has this many probe periods to refute the suspicion, plus
    /// `suspicion_periods_per_doubling` for each doubling of the group, because gossip takes longer
    /// to reach everyone.
    double suspicion_periods = 3.0;
    double suspicion_periods_per_doubling = 0.5;

    /// While there are updates to send, `gossip_fanout` members get a datagram without a probe in
    /// each period.
    base::duration gossip_period = std::chrono::milliseconds(250);
    std::uint32_t gossip_fanout = 2;
    /// An update is sent this many times, plus `transmissions_per_doubling` for each doubling of
    /// the group.
    double transmissions = 4.0;
    double transmissions_per_doubling = 0.75;
    std::size_t members_per_datagram = 6;
    std::size_t notices_per_datagram = 4;
    /// For this long, the latest changes are sent again to a member whose view differs.
    base::duration repair_time = std::chrono::seconds(10);
    std::size_t repairs_per_datagram = 3;
    /// Limit on the members and notices sent per second, to bound the bandwidth while much changes.
    double entries_per_second = 16.0;
    double entries_burst = 32.0;

    /// If no other member's view has been equal for this long, the whole member list of one member
    /// is requested. The period doubles, up to the longest, whenever a list contains nothing new.
    base::duration shortest_list_period = std::chrono::seconds(4);
    base::duration longest_list_period = std::chrono::seconds(64);
    /// Added to the period for each member, because the list grows with the group: bounds the
    /// bandwidth.
    base::duration list_period_per_member = std::chrono::milliseconds(20);

    /// Average period between probes of a dead member, made to detect that a partition has healed.
    base::duration dead_probe_period = std::chrono::seconds(10);
    /// A dead member is removed from the table after this time.
    base::duration dead_retention = std::chrono::hours(1);
    /// A notice is remembered for this long, so that a late copy is not taken for a new notice.
    base::duration notice_retention = std::chrono::minutes(2);
    std::size_t max_notices = 256;
    std::size_t max_members = 4096;

    /// Period between attempts to join while no other member is known.
    base::duration join_period = std::chrono::seconds(1);
    /// Period between attempts to reach a seed that is not among the live members.
    base::duration seed_period = std::chrono::seconds(30);
    /// If a tick is late by more than this, this process was paused, and the messages missed in the
    /// meantime are no evidence against other members.
    base::duration pause_tolerance = std::chrono::milliseconds(400);
    /// Number of members told directly of a departure.
    std::uint32_t departure_fanout = 8;
};

}  // namespace ferryroad::coordination::membership
