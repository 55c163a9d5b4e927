/// @file
/// Tunables of the failure detector.
#pragma once

#include "ferryroad/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace ferryroad::coordination::membership {

/// The load on one node depends on these alone, not on the number of members.
struct detector_settings {
    /// One member is probed in each period.
    base::duration probe_period = std::chrono::seconds(1);
    /// Without an ack after this, others are asked to probe the target too.
    base::duration direct_timeout = std::chrono::milliseconds(300);
    std::uint32_t indirect_probes = 3;

    /// A suspected member has this many probe periods to refute, and more for each doubling
    /// of the group, because news takes longer to spread.
    double suspicion_periods = 3.0;
    double suspicion_periods_per_doubling = 0.5;

    /// While there is news, so many members get a datagram without probe in each period.
    base::duration gossip_period = std::chrono::milliseconds(250);
    std::uint32_t gossip_fanout = 2;
    /// A piece of news is sent this many times, and more for each doubling of the group.
    double transmissions = 4.0;
    double transmissions_per_doubling = 0.75;
    std::size_t members_per_datagram = 6;
    std::size_t notices_per_datagram = 4;
    /// The latest changes are sent again to a member whose view differs, for so long.
    base::duration repair_time = std::chrono::seconds(10);
    std::size_t repairs_per_datagram = 3;
    /// Members and notices sent, all together: bounds the bytes while much changes.
    double entries_per_second = 16.0;
    double entries_burst = 32.0;

    /// Where no other member's view has been equal for so long, one member's whole list is
    /// asked for; the time doubles, up to the longest, when a list brings nothing new.
    base::duration shortest_list_period = std::chrono::seconds(4);
    base::duration longest_list_period = std::chrono::seconds(64);
    /// Added for each member, because the list grows with them: bounds the bytes a second.
    base::duration list_period_per_member = std::chrono::milliseconds(20);

    /// One dead member is probed in about this time, to find that a partition has healed.
    base::duration dead_probe_period = std::chrono::seconds(10);
    /// A dead member is forgotten after this.
    base::duration dead_retention = std::chrono::hours(1);
    /// A notice is remembered this long, so that a late copy is not taken for news.
    base::duration notice_retention = std::chrono::minutes(2);
    std::size_t most_notices = 256;
    std::size_t most_members = 4096;

    /// Between attempts to join while no other member is known.
    base::duration join_period = std::chrono::seconds(1);
    /// Between attempts to reach a seed that is not among the live members.
    base::duration seed_period = std::chrono::seconds(30);
    /// A tick that comes later than this after its time means that this process was paused:
    /// what it did not hear meanwhile proves nothing against others.
    base::duration pause_tolerance = std::chrono::milliseconds(400);
    /// Members told directly of a departure.
    std::uint32_t departure_fanout = 8;
};

}  // namespace ferryroad::coordination::membership
