/// @file
/// Port through which the configuration service calls the other routers.
#pragma once

#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/runtime/task.hpp"

namespace ferryroad::router {

/// Not thread-safe: used from the event loop's thread only. Calls from the other routers are
/// answered by `configuration_service::answer_pull`, `accept_push` and `observe_revision`.
class peer_link {
  public:
    virtual ~peer_link() = default;

    /// Asks a live router, chosen at random for each call, for the changes after `from`.
    /// @return `unreachable` if no other router is known to be live.
    virtual runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>>
    pull(base::revision from) = 0;

    /// Sends a committed change to live routers. It may be lost; routers that miss it learn of the
    /// revision through gossip and pull it.
    virtual void push(const coordination::configuration::change& added) = 0;
};

/// Peer link of a router that runs alone.
class no_peers final : public peer_link {
  public:
    runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>> pull(
        base::revision /*from*/) override {
        co_return peer::error{peer::error_code::unreachable, "no other router is known"};
    }
    void push(const coordination::configuration::change& /*added*/) override {}
};

}  // namespace ferryroad::router
