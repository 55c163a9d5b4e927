/// @file
/// Messages between the members of a group, independent of encoding: the embedder supplies codec
/// and transport.
#pragma once

#include "ferryroad/base/endpoint.hpp"
#include "ferryroad/base/ids.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::coordination::membership {

/// State of a member. Within one incarnation a later value replaces an earlier one.
enum class member_state : std::uint8_t {
    alive,
    suspect,  ///< A probe failed; counts as live until the suspicion times out.
    leaving,  ///< A planned stop is under way: the member still answers but takes no new role.
    dead
};

/// State of one member as seen by the sender. A higher incarnation replaces a lower one.
struct member_update {
    base::router_name name;
    base::endpoint address;
    base::zone_name zone;
    base::region_name region;
    base::incarnation incarnation;
    member_state state = member_state::alive;

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// A small fact that the embedder gossips through the group, such as a backend that is leaving. Of
/// two notices on the same subject the higher version wins; within one version, `raised` wins.
struct notice {
    std::string subject;
    std::uint64_t version = 0;
    bool raised = false;

    friend bool operator==(const notice&, const notice&) = default;
};

/// Checks that the receiver is alive.
struct ping {
    std::uint64_t sequence = 0;
    friend bool operator==(const ping&, const ping&) = default;
};
/// Answers a ping, or answers a ping request once its target has answered.
struct ack {
    std::uint64_t sequence = 0;
    friend bool operator==(const ack&, const ack&) = default;
};
/// Asks the receiver to ping `target` and to forward its ack.
struct ping_request {
    std::uint64_t sequence = 0;
    base::router_name target;
    friend bool operator==(const ping_request&, const ping_request&) = default;
};
/// Probe part of a datagram; `std::monostate` if it only carries gossip.
using probe = std::variant<std::monostate, ping, ack, ping_request>;

/// One datagram: a probe and the gossip it carries.
struct datagram {
    base::router_name sender;
    base::incarnation sender_incarnation;
    std::uint64_t revision = 0;  ///< Configuration revision that the sender uses; opaque here.
    /// Digest of the sender's view; equal digests mean equal views of the group.
    std::uint64_t members_digest = 0;
    membership::probe probe;
    std::vector<member_update> members;
    std::vector<notice> notices;

    friend bool operator==(const datagram&, const datagram&) = default;
};

/// Sent over a reliable call: the joining member describes itself and gets the whole member list.
struct join_request {
    member_update member;
    friend bool operator==(const join_request&, const join_request&) = default;
};
/// Answers a join request with all members known to the answering member, itself included.
struct join_answer {
    std::vector<member_update> members;
    friend bool operator==(const join_answer&, const join_answer&) = default;
};

}  // namespace ferryroad::coordination::membership
