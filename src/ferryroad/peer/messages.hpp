/// @file
/// Typed messages between routers, as encoded by schema/wire.fbs. Types of the coordination and
/// core libraries are used directly where they exist.
#pragma once

#include "ferryroad/base/ids.hpp"
#include "ferryroad/base/time.hpp"
#include "ferryroad/coordination/configuration/replica.hpp"
#include "ferryroad/coordination/configuration/types.hpp"
#include "ferryroad/coordination/membership/messages.hpp"
#include "ferryroad/coordination/quota/types.hpp"
#include "ferryroad/core/prefix/cache_namespace.hpp"
#include "ferryroad/core/prefix/pieces.hpp"
#include "ferryroad/core/prefix/prefix_owner.hpp"
#include "ferryroad/core/prefix/report.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace ferryroad::peer {

using coordination::membership::datagram;
using coordination::membership::join_answer;
using coordination::membership::join_request;

/// Requests the configuration changes after revision `from`.
struct configuration_pull {
    base::revision from;
    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;
};

using configuration_answer = coordination::configuration::pull_answer;

/// Announces a revision as soon as it is committed.
struct configuration_push {
    coordination::configuration::change change;
    friend bool operator==(const configuration_push&, const configuration_push&) = default;
};

/// Asks the router that owns a root piece which engines hold the pieces (root first).
struct prefix_lookup {
    core::prefix::cache_namespace scope;
    core::prefix::piece_chain pieces;
    friend bool operator==(const prefix_lookup&, const prefix_lookup&) = default;
};

/// Response to `prefix_lookup`. Ages have millisecond precision on the wire, the rate single
/// precision.
using prefix_answer = core::prefix::owner_answer;

/// Reports to the owner of a root piece about cached pieces.
struct prefix_reports {
    std::vector<core::prefix::prefix_report> reports;
};

/// Asks the router that keeps a tenant's quota whether a request may run.
struct quota_request {
    std::uint64_t number = 0;  ///< Chosen by the sender to match the response.
    coordination::quota::quota_ask ask;
    friend bool operator==(const quota_request&, const quota_request&) = default;
};

/// Response to `quota_request`. Durations have millisecond precision on the wire.
struct quota_grant {
    std::uint64_t number = 0;  ///< Number of the request.
    coordination::quota::quota_verdict verdict;
    friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

/// Response without content.
struct empty {
    friend bool operator==(const empty&, const empty&) = default;
};

using call_body = std::variant<join_request, join_answer, configuration_pull, configuration_answer,
                               configuration_push, prefix_lookup, prefix_answer, prefix_reports,
                               quota_request, quota_grant, empty>;

/// A request or response with its sender.
struct call {
    base::router_name sender;
    base::incarnation sender_incarnation;
    call_body body;
};

}  // namespace ferryroad::peer
