/// @file
/// Typed messages between routers: what schema/wire.fbs carries. Datagrams and joins are the
/// membership library's own messages.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/membership/messages.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ferryroad::peer {

using coordination::membership::datagram;
using coordination::membership::join_answer;
using coordination::membership::join_request;

/// Asks for the configuration after `from`; revision 0 asks for a snapshot.
struct configuration_pull {
    base::revision from;
    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;
};

/// One resource set, or removed.
struct resource_change {
    std::string key;
    std::string value;
    bool removed = false;
    friend bool operator==(const resource_change&, const resource_change&) = default;
};

/// One committed revision.
struct configuration_change {
    base::revision revision;
    std::string operation;
    std::string author;
    std::vector<resource_change> resources;
    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// Either the changes after the revision asked from, or a snapshot and the changes after it.
struct configuration_answer {
    base::revision head;               ///< In force at the answering router.
    base::revision snapshot_revision;  ///< 0: no snapshot was needed.
    std::vector<resource_change> snapshot;
    std::vector<configuration_change> changes;
    bool confirmed = false;  ///< The answering router itself has a confirmed revision.
    friend bool operator==(const configuration_answer&, const configuration_answer&) = default;
};

/// Tells of a revision as soon as it is committed.
struct configuration_push {
    configuration_change change;
    friend bool operator==(const configuration_push&, const configuration_push&) = default;
};

/// Asks a root's owner which engines hold the pieces (root first).
struct prefix_lookup {
    core::prefix::cache_namespace scope;
    std::vector<base::piece_hash> pieces;
    friend bool operator==(const prefix_lookup&, const prefix_lookup&) = default;
};

/// An engine that holds the first `depth` of the pieces asked for.
struct prefix_holder {
    base::engine_name engine;
    base::incarnation incarnation;
    std::uint32_t depth = 0;
    base::duration age{};  ///< Since it was last confirmed; whole milliseconds on the wire.
    friend bool operator==(const prefix_holder&, const prefix_holder&) = default;
};

struct prefix_answer {
    std::vector<prefix_holder> holders;
    float request_rate = 0;  ///< Of the root, a second, over all routers.
    friend bool operator==(const prefix_answer&, const prefix_answer&) = default;
};

/// An engine has, or has evicted, the pieces (root first) down to `depth`; or events of it were
/// lost, and what no answer confirmed is void.
struct prefix_report {
    core::prefix::cache_namespace scope;
    std::vector<base::piece_hash> pieces;
    base::engine_name engine;
    base::incarnation incarnation;
    bool evicted = false;
    std::uint32_t depth = 0;
    bool answered = false;     ///< The engine's own answer said that it holds them.
    bool events_lost = false;  ///< Scope and pieces are empty.
    friend bool operator==(const prefix_report&, const prefix_report&) = default;
};

struct prefix_reports {
    std::vector<prefix_report> reports;
    friend bool operator==(const prefix_reports&, const prefix_reports&) = default;
};

/// Asks a tenant's quota home for the next budget.
struct quota_request {
    base::tenant_name tenant;
    double wanted = 0;  ///< Requests a second that this router could use.
    double spent = 0;   ///< Requests admitted since the last request.
    std::uint32_t in_flight = 0;
    base::revision revision;  ///< Configuration in force at the asking router.
    friend bool operator==(const quota_request&, const quota_request&) = default;
};

struct quota_grant {
    double granted = 0;    ///< Requests a second.
    base::duration valid;  ///< From the asking on; whole milliseconds on the wire.
    std::uint32_t concurrent = 0;
    friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

/// The answer where there is nothing to say.
struct empty {
    friend bool operator==(const empty&, const empty&) = default;
};

using call_body = std::variant<join_request, join_answer, configuration_pull, configuration_answer,
                               configuration_push, prefix_lookup, prefix_answer, prefix_reports,
                               quota_request, quota_grant, empty>;

/// A request or an answer with its sender.
struct call {
    base::router_name sender;
    base::incarnation sender_incarnation;
    call_body body;
    friend bool operator==(const call&, const call&) = default;
};

}  // namespace ferryroad::peer
