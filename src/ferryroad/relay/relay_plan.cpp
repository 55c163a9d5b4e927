#include "ferryroad/relay/relay_plan.hpp"

#include <algorithm>

namespace ferryroad::relay {

namespace execution = core::execution;

bool is_repeatable(const core::traffic::route& route) {
    const bool stream = route.kind == core::traffic::request_kind::streaming;
    return stream ? route.resumable : route.kind == core::traffic::request_kind::safe;
}

bool needs_known_tenant(const relay_call& call, const core::traffic::traffic_policy& policy,
                        const core::traffic::route& route) {
    const bool presents_credentials = call.api_key || call.has_invalid_credentials;
    return policy.needs_key(route) || (presents_credentials && !policy.declared().tenants.empty());
}

core::quarantine::request_identity identity_of(const relay_plan& plan) {
    const http::request& message = plan.call->message;
    core::quarantine::request_content content;
    content.method = message.method;
    content.host = plan.call->host;
    content.target = message.target;
    if (plan.tenant != nullptr) {
        content.caller = plan.tenant->name.value;
    }
    content.body = message.body;
    return core::quarantine::identity_of(content);
}

execution::execution_rules rules_of(const relay_plan& plan) {
    execution::execution_rules rules;
    rules.repeatable = is_repeatable(*plan.matched_route);
    rules.streamed = plan.matched_route->kind == core::traffic::request_kind::streaming;
    rules.deadline = plan.deadline;
    return rules;
}

execution::tunables limits_of(const relay_plan& plan, const driver_tunables& tunables) {
    execution::tunables limits;
    limits.executions = std::max(1U, plan.matched_route->attempts);
    limits.attempts = limits.executions + tunables.extra_dispatches;
    limits.max_resumes_per_attempt = 0;
    limits.max_overloaded_refusals = limits.attempts;
    limits.stale_target_retry_is_free = false;
    limits.retry_after = tunables.retry_after;
    return limits;
}

namespace {

base::duration refusal_backoff_after(const dispatch_failure& failure, bool outdated, bool counted,
                                     const driver_tunables& tunables) {
    const bool limited = !counted && failure.rejection_limit && failure.rejection_limit->per_second;
    const base::duration backoff = outdated ? tunables.loading_backoff : tunables.refusal_backoff;
    return limited ? std::max(backoff, tunables.limited_rejection_backoff) : backoff;
}

}  // namespace

void record_dispatch_failure(known_engine& engine, const dispatch_failure& failure, bool outdated,
                             const driver_tunables& tunables, base::monotonic_time now,
                             bool counted) {
    switch (failure.kind) {
        case execution::failure_kind::overloaded:
            engine.refuses_until =
                now + refusal_backoff_after(failure, outdated, counted, tunables);
            return;
        case execution::failure_kind::stale_target:
            if (!failure.version) {
                engine.refuses_until = now + tunables.misdirected_backoff;
            }
            return;
        case execution::failure_kind::rejected:
        case execution::failure_kind::withheld:
            return;
        default:
            engine.health.record_failure(failure.kind == execution::failure_kind::unreachable, now);
    }
}

}  // namespace ferryroad::relay
