/// @file
/// Final answers that the relay gives by itself.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/http/message.hpp"

#include <optional>
#include <string_view>

namespace ferryroad::relay {

enum class refusal_cause {
    leaving,            ///< This router is about to end.
    no_policy,          ///< No declaration is known yet.
    policy_not_fresh,   ///< The declaration's owner was out of reach for too long.
    no_route,           ///< No route begins the path.
    unknown_key,        ///< No tenant holds the key.
    malformed,          ///< A header of the call makes no sense.
    over_quota,         ///< The tenant's limit over all routers is used up.
    quarantined,        ///< Engines ended that ran the same request.
    no_engine,          ///< No engine may get the request now.
    overloaded,         ///< Engines refused it.
    engine_failed,      ///< It was sent, and no answer of use came back.
    deadline_exceeded,  ///< Time ran out.
    caller_gone         ///< Nobody waits for the answer.
};

std::string_view to_string(refusal_cause cause);

struct relay_refusal {
    refusal_cause cause{};
    core::execution::execution_report report = core::execution::execution_report::not_run;
    std::optional<base::duration> retry_after;

    friend bool operator==(const relay_refusal&, const relay_refusal&) = default;
};

/// @return how an execution's refusal is called here.
relay_refusal to_relay_refusal(const core::execution::refuse& given_up);

/// @return the HTTP answer. 503 only for what has not run and never will, with when to come
/// back; what may have run gets 502 or 504.
http::response answer_of(const relay_refusal& refusal);

}  // namespace ferryroad::relay
