/// @file
/// Periods and limits of the configuration service, chosen for 370 routers that share the
/// table's rate limit.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/configuration/types.hpp"

namespace ferryroad::router {

/// Each period is jittered by `jitter` both ways, so that routers that started together
/// don't ask together.
struct configuration_tunables {
    coordination::configuration::log_limits log;
    double jitter = 0.25;

    /// Unconfirmed for longer than this, a router turns unready.
    base::duration confirmation_limit = std::chrono::seconds(15);
    /// One pull of a random peer: about 100 bytes each way, 25 B/s.
    base::duration peer_pull_period = std::chrono::seconds(4);
    /// The first pulls while unconfirmed come faster: of a herd that restarts together twice as
    /// many know with each round.
    base::duration fast_peer_pull_period = std::chrono::milliseconds(250);
    unsigned fast_peer_pulls = 16;
    /// While peers confirm: one table call a minute and router, 6.2 a second over 370.
    base::duration table_poll_period = std::chrono::seconds(60);
    /// While no peer confirms: 74 calls a second, were all 370 cut off from each other.
    base::duration lonely_table_poll_period = std::chrono::seconds(5);

    /// At the start peers are asked at once; the table after up to this, twice as long with
    /// each failure; the object store after `first_object_read`.
    base::duration first_table_read = std::chrono::milliseconds(400);
    base::duration first_object_read = std::chrono::seconds(1);
    base::duration longest_back_off = std::chrono::seconds(20);

    /// Pause before a pull that gossip asked for: a push is most often on its way.
    base::duration pull_delay = std::chrono::milliseconds(100);
    /// Pulls of peers before the table is asked.
    unsigned peer_pull_attempts = 3;

    /// A change that hasn't taken effect by then is answered as failed or unknown.
    base::duration commit_limit = std::chrono::seconds(8);
    /// Time kept for the answer's way where whoever asks names a limit; at most a quarter.
    base::duration longest_way_back = std::chrono::milliseconds(500);
    base::duration commit_retry_pause = std::chrono::milliseconds(100);
    /// Snapshots to the object store are no closer than this.
    base::duration object_write_period = std::chrono::seconds(5);
};

}  // namespace ferryroad::router
