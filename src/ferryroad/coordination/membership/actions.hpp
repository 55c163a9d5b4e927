/// @file
/// Actions that the failure detector returns to its embedder: requests to carry out and events to
/// take note of.
#pragma once

#include "ferryroad/coordination/membership/messages.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace ferryroad::coordination::membership {

/// Send a datagram without retry; loss is expected.
struct send_datagram {
    base::endpoint to;
    datagram message;
};
/// Call `seed` and pass its answer to `failure_detector::on_join_answer`. A failed call need not be
/// reported.
struct request_join {
    base::endpoint seed;
    join_request message;
};
/// A member appeared, changed its state, or returned with a higher incarnation.
struct member_changed {
    member_update member;
};
/// Another member uses a higher revision than this one.
struct revision_seen {
    base::router_name member;
    base::endpoint address;
    std::uint64_t revision = 0;
};
/// A notice that was not known to this member before.
struct notice_learned {
    membership::notice notice;
};

/// One action of the failure detector.
using action =
    std::variant<send_datagram, request_join, member_changed, revision_seen, notice_learned>;
using actions = std::vector<action>;

}  // namespace ferryroad::coordination::membership
