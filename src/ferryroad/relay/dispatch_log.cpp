#include "ferryroad/relay/dispatch_log.hpp"

#include "ferryroad/relay/engine_limits.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::relay {

namespace {

constexpr std::string_view component = "relay.request";

std::string text_of(const std::optional<base::endpoint>& address) {
    return address ? address->to_string() : "none";
}

std::string text_of(const std::optional<std::uint64_t>& version) {
    return version ? std::to_string(*version) : "none";
}

std::string text_of(bool value) {
    return value ? "true" : "false";
}

std::string connection_of(const std::optional<http::answer_attribution>& answer) {
    if (!answer) {
        return "none";
    }
    return answer->reused_connection ? "kept" : "new";
}

/// @return time until a request must have begun, in milliseconds; `none` if it may at any time.
std::string begin_left_ms(const std::optional<base::monotonic_time>& begin_by,
                          base::monotonic_time now) {
    return begin_by ? std::to_string(base::to_milliseconds(*begin_by - now)) : "none";
}

/// @return how long weights have been outdated, in milliseconds; `none` for the newest.
std::string outdated_ms(const std::optional<base::monotonic_time>& since,
                        base::monotonic_time now) {
    return since ? std::to_string(base::to_milliseconds(now - *since)) : "none";
}

std::uint64_t shared_tokens(const relay_plan& plan) {
    return plan.call->prompt ? plan.call->prompt->shared_tokens() : 0;
}

}  // namespace

void log_dispatch(const relay_plan& plan, const selected_engine& selected,
                  core::execution::attempt_number attempt, const dispatch_moment& moment) {
    runtime::log(
        runtime::log_level::info, component, "dispatched",
        {{"request_id", plan.call->id.value},
         {"digest", core::quarantine::to_string(plan.identity)},
         {"attempt", std::to_string(attempt.value)},
         {"engine", selected.target.name.value},
         {"software", selected.software.value},
         {"begun_at", moment.begun_at ? moment.begun_at->value : "none"},
         {"after_event", text_of(moment.after_event)},
         {"resumes", plan.call->resumed_attempt ? plan.call->resumed_attempt->value : "none"},
         {"candidates", std::to_string(selected.candidates)},
         {"recorded_only", text_of(selected.recorded_only)},
         {"cost_ms", std::to_string(static_cast<std::int64_t>(selected.cost_ms))},
         {"distance", std::string(core::topology::to_string(selected.away))},
         {"path_ms", std::to_string(static_cast<std::int64_t>(selected.path_ms))},
         {"running", std::to_string(selected.running)},
         {"slots", std::to_string(selected.slots)},
         {"pending_tokens", std::to_string(selected.pending_prefill_tokens)},
         {"warm_tokens", std::to_string(selected.warm_tokens)},
         {"fetchable_tokens", std::to_string(selected.fetchable_tokens)},
         {"shared_tokens", std::to_string(shared_tokens(plan))},
         {"prefill_tokens", std::to_string(selected.prefill_tokens)},
         {"fetch_from", text_of(selected.fetch_state_from)},
         {"save_to", text_of(selected.save_state_to)},
         {"fetch_over", selected.moved_bytes > 0
                            ? std::string(core::topology::to_string(selected.moved_distance))
                            : "none"},
         {"weights", text_of(selected.expected_version)},
         {"weights_outdated_ms", outdated_ms(selected.outdated_since, moment.now)},
         {"begin_left_ms", begin_left_ms(selected.begin_by, moment.now)},
         {"tokens_before", std::to_string(selected.work.tokens_before)},
         {"begin_bound_ms", std::to_string(base::to_milliseconds(selected.begin_bound))},
         {"request_limit", to_string(moment.limit)},
         {"counted_by", moment.counted_by.value.empty() ? "none" : moment.counted_by.value},
         {"slot_by", moment.slot_by},
         {"policy", std::to_string(plan.policy->version())},
         {"policy_age_ms", std::to_string(base::to_milliseconds(moment.policy_age))},
         {"engines_age_ms", std::to_string(base::to_milliseconds(moment.engines_age))},
         {"left_ms", std::to_string(base::to_milliseconds(plan.deadline - moment.now))}});
}

void log_dispatch_failure(const relay_plan& plan, const selected_engine& selected,
                          const dispatch_failure& failure, const failed_exchange& exchange) {
    const auto& answer = failure.attribution;
    runtime::log(runtime::log_level::warning, component,
                 failure.lost ? "dispatch not sent" : "dispatch failed",
                 {{"request_id", plan.call->id.value},
                  {"digest", core::quarantine::to_string(plan.identity)},
                  {"parts", core::quarantine::to_string(plan.parts)},
                  {"engine", selected.target.name.value},
                  {"reason", failure.message},
                  {"proof", std::string(core::execution::to_string(failure.proof))},
                  {"connection", connection_of(answer)},
                  {"answers_skipped", answer ? std::to_string(answer->skipped) : "none"},
                  {"lost", failure.lost ? std::string(to_string(*failure.lost)) : "none"},
                  {"via", failure.via ? failure.via->value : "none"},
                  {"own_path", text_of(exchange.own_path)},
                  {"events", std::to_string(exchange.events)},
                  {"running", std::to_string(exchange.running)},
                  {"after_ms", std::to_string(base::to_milliseconds(exchange.taken))}});
}

void log_unusable_answer(const relay_plan& plan, const selected_engine& selected, unsigned status,
                         std::string_view reason) {
    runtime::log(runtime::log_level::warning, component, "engine's answer not passed on",
                 {{"request_id", plan.call->id.value},
                  {"engine", selected.target.name.value},
                  {"status", std::to_string(status)},
                  {"reason", std::string(reason)}});
}

void log_withdrawal(const relay_plan& plan, const selected_engine& selected,
                    dispatch_precondition lost, const withdrawn_exchange& exchange,
                    base::monotonic_time now) {
    runtime::log(runtime::log_level::warning, component, "withdrawn",
                 {{"request_id", plan.call->id.value},
                  {"digest", core::quarantine::to_string(plan.identity)},
                  {"engine", selected.target.name.value},
                  {"lost", std::string(to_string(lost))},
                  {"waited_ms", std::to_string(base::to_milliseconds(exchange.since_sent))},
                  {"events", std::to_string(exchange.events)},
                  {"fetch_from", text_of(selected.fetch_state_from)},
                  {"save_to", text_of(selected.save_state_to)},
                  {"tokens_before", std::to_string(selected.work.tokens_before)},
                  {"weights", text_of(selected.expected_version)},
                  {"weights_outdated_ms", outdated_ms(selected.outdated_since, now)}});
}

void log_prompt(const relay_plan& plan, const selected_engine& selected,
                const std::vector<core::prefix::scoped_part>& parts) {
    if (parts.empty() || !runtime::log_enabled(runtime::log_level::debug)) {
        return;
    }
    const std::uint64_t known = std::max(selected.warm_tokens, selected.fetchable_tokens);
    runtime::log(runtime::log_level::debug, component, "prompt",
                 {{"request_id", plan.call->id.value},
                  {"engine", selected.target.name.value},
                  {"address", selected.target.address.to_string()},
                  {"scope", *selected.cache_scope},
                  {"parts", core::prefix::to_string(parts)},
                  {"fetch_from", text_of(selected.fetch_state_from)},
                  {"known_tokens", std::to_string(known)},
                  {"saved", selected.save_state_to ? "true" : "false"}});
}

}  // namespace ferryroad::relay
