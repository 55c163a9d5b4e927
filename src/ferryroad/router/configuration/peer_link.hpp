/// @file
/// Port from the configuration service to the other routers.
#pragma once

#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/peer/errors.hpp"
#include "ferryroad/runtime/task.hpp"

namespace ferryroad::router {

/// Used from the event loop's thread. The other direction, answering peers, is
/// `configuration_service::answer_pull`, `accept_push` and `observe_revision`.
class peer_link {
  public:
    virtual ~peer_link() = default;

    /// Asks one random live router for what came after `from`; other calls may ask others.
    /// @return `unreachable` where no other router is known to be live.
    virtual runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>>
    pull(base::revision from) = 0;

    /// Sends a committed change to live routers. May be lost: gossip of the revision and
    /// pulls make up for it.
    virtual void push(const coordination::configuration::change& added) = 0;
};

/// For a router that has no others.
class no_peers final : public peer_link {
  public:
    runtime::task<runtime::result<coordination::configuration::pull_answer, peer::error>> pull(
        base::revision /*from*/) override {
        co_return peer::error{peer::error_code::unreachable, "no other router is known"};
    }
    void push(const coordination::configuration::change& /*added*/) override {}
};

}  // namespace ferryroad::router
