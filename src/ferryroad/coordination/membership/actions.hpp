/// @file
/// What the failure detector asks its embedder to do, or tells it.
#pragma once

#include "ferryroad/coordination/membership/messages.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace ferryroad::coordination::membership {

/// Send without retry; loss is expected.
struct send_datagram {
    base::endpoint to;
    datagram message;
};
/// Call `seed` and feed its answer to `failure_detector::on_join_answer`; a failed call needs
/// no report.
struct request_join {
    base::endpoint seed;
    join_request message;
};
/// A member appeared, changed its state or came back under a higher incarnation.
struct member_changed {
    member_update member;
};
/// Another member has a higher revision in force than this one.
struct revision_seen {
    base::router_name member;
    base::endpoint address;
    std::uint64_t revision = 0;
};
/// A notice that is news here.
struct notice_learned {
    membership::notice notice;
};

using action =
    std::variant<send_datagram, request_join, member_changed, revision_seen, notice_learned>;
using actions = std::vector<action>;

}  // namespace ferryroad::coordination::membership
