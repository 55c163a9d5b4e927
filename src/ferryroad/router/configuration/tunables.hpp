/// @file
/// Periods and limits of the configuration service, sized for 370 routers that share the table's
/// rate limit.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/configuration/types.hpp"

namespace ferryroad::router {

/// Each period varies at random by the fraction `jitter` in both directions, so that routers that
/// started together don't send their requests together.
struct configuration_tunables {
    coordination::configuration::log_limits log;
    double jitter = 0.25;

    /// A router whose revision has not been confirmed for longer than this becomes unready.
    base::duration confirmation_limit = std::chrono::seconds(15);
    /// Between pulls from a random peer. A pull takes about 100 bytes each way, which is 25 B/s.
    base::duration peer_pull_period = std::chrono::seconds(4);
    /// The first `fast_peer_pulls` pulls while unconfirmed use this shorter period: when many
    /// routers restart together, each round of pulls doubles the number that have the
    /// configuration.
    base::duration fast_peer_pull_period = std::chrono::milliseconds(250);
    unsigned fast_peer_pulls = 16;
    /// Between reads of the table while peers confirm the revision: one call a minute per router,
    /// 6.2 calls a second for 370 routers.
    base::duration table_poll_period = std::chrono::seconds(60);
    /// The same while no peer confirms the revision: 74 calls a second if all 370 routers are
    /// partitioned from each other.
    base::duration unconfirmed_table_poll_period = std::chrono::seconds(5);

    /// At start-up the peers are asked immediately, the table after a random part of this time, and
    /// the object store after `first_object_read`. Failed reads of the table are retried after this
    /// time, which doubles with each failure up to `max_backoff`.
    base::duration first_table_read = std::chrono::milliseconds(400);
    base::duration first_object_read = std::chrono::seconds(1);
    base::duration max_backoff = std::chrono::seconds(20);

    /// Delay before a pull that gossip triggered: in most cases the change arrives by push
    /// meanwhile.
    base::duration pull_delay = std::chrono::milliseconds(100);
    /// Pulls from peers that are tried before the table is read.
    unsigned peer_pull_attempts = 3;

    /// A change that isn't committed within this time ends with `unavailable` or `outcome_unknown`.
    base::duration commit_limit = std::chrono::seconds(8);
    /// Part of the caller's time limit that is kept for returning the answer; never more than a
    /// quarter of the limit.
    base::duration max_response_time = std::chrono::milliseconds(500);
    /// Delay before a failed commit is retried if the table doesn't name one.
    base::duration commit_retry_pause = std::chrono::milliseconds(100);
    /// Shortest time between two snapshots written to the object store.
    base::duration object_write_period = std::chrono::seconds(5);
};

}  // namespace ferryroad::router
