/// @file
/// What members of one group tell each other. Apart from any encoding: an embedder brings its
/// own codec and transport.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::coordination::membership {

/// Order of precedence within one incarnation: a later state replaces an earlier one.
enum class member_state : std::uint8_t {
    alive,
    suspect,  ///< A probe failed; counts as live until the suspicion's time is over.
    leaving,  ///< A planned stop: still answers, takes no new role.
    dead
};

/// One member as seen by the sender. A higher incarnation replaces a lower one.
struct member_update {
    base::router_name name;
    base::endpoint address;
    base::zone_name zone;
    base::region_name region;
    base::incarnation incarnation;
    member_state state = member_state::alive;

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// A small fact that the embedder spreads through the group, such as a back end that is
/// leaving. Of two about one subject the higher version holds; within one version, `raised`.
struct notice {
    std::string subject;
    std::uint64_t version = 0;
    bool raised = false;

    friend bool operator==(const notice&, const notice&) = default;
};

struct ping {
    std::uint64_t sequence = 0;
    friend bool operator==(const ping&, const ping&) = default;
};
/// Answers a ping, or a ping request once its target has answered.
struct ack {
    std::uint64_t sequence = 0;
    friend bool operator==(const ack&, const ack&) = default;
};
/// Asks the receiver to ping `target` and to pass its ack on.
struct ping_request {
    std::uint64_t sequence = 0;
    base::router_name target;
    friend bool operator==(const ping_request&, const ping_request&) = default;
};
/// `std::monostate`: gossip only.
using probe = std::variant<std::monostate, ping, ack, ping_request>;

/// One datagram: a probe with what it carries along.
struct datagram {
    base::router_name sender;
    base::incarnation sender_incarnation;
    std::uint64_t revision = 0;  ///< Opaque: the sender's configuration in force.
    /// Of the sender's view: equal digests mean that both see the same members.
    std::uint64_t members_digest = 0;
    membership::probe probe;
    std::vector<member_update> members;
    std::vector<notice> notices;

    friend bool operator==(const datagram&, const datagram&) = default;
};

/// Sent over a reliable call: the joining member tells of itself and gets the whole list.
struct join_request {
    member_update member;
    friend bool operator==(const join_request&, const join_request&) = default;
};
struct join_answer {
    std::vector<member_update> members;
    friend bool operator==(const join_answer&, const join_answer&) = default;
};

}  // namespace ferryroad::coordination::membership
