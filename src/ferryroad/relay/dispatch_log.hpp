/// @file
/// Log lines that record what was known and decided for a dispatch, for diagnosis by operators.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/core/execution/actions.hpp"
#include "ferryroad/core/prefix/declared_prompt.hpp"
#include "ferryroad/relay/relay_plan.hpp"
#include "ferryroad/relay/selection.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ferryroad::relay {

/// The time of a dispatch decision, the age of the policy and of the engine list that it was based
/// on, the engine's request limit at that time, the router that counted the request against it, and
/// the stream that the dispatch continues.
struct dispatch_moment {
    base::monotonic_time now{};
    base::duration policy_age{};
    base::duration engines_age{};
    engine_limit limit;
    base::router_name counted_by;              ///< Empty if none did.
    std::string slot_by;                       ///< Who granted the slot, as of `grantor_of`.
    std::optional<std::uint64_t> after_event;  ///< Last event of the stream that is continued.
    /// Version that the stream began at; nothing if it has no event yet or that is not known.
    std::optional<coordination::release::software_version> begun_at;
};

/// Logs a dispatch to the selected engine. Used from the event loop's thread, as all functions
/// here.
void log_dispatch(const relay_plan& plan, const selected_engine& selected,
                  core::execution::attempt_number attempt, const dispatch_moment& moment);

/// What an exchange had come to when it failed.
struct failed_exchange {
    bool own_path = false;      ///< This router reached no engine.
    std::uint64_t events = 0;   ///< Received in this exchange.
    std::uint32_t running = 0;  ///< This router's requests at the engine.
    base::duration taken{};
};

/// Logs why a dispatch failed or was not sent, and what that proves about whether it ran.
void log_dispatch_failure(const relay_plan& plan, const selected_engine& selected,
                          const dispatch_failure& failure, const failed_exchange& exchange);

/// Logs that an engine's answer is not passed on. @param reason `unproven_promise`: its status
/// promises that the request did not run, which the engine has not stated; `stream_not_continued`:
/// the caller has received events, and the answer is no stream.
void log_unusable_answer(const relay_plan& plan, const selected_engine& selected, unsigned status,
                         std::string_view reason);

/// What an exchange had come to when it was withdrawn.
struct withdrawn_exchange {
    base::duration since_sent{};
    std::uint64_t events = 0;  ///< Received in this exchange.
};

/// Logs that a request was withdrawn from its engine because it must no longer begin or run there.
/// @param lost the precondition that no longer holds.
void log_withdrawal(const relay_plan& plan, const selected_engine& selected,
                    dispatch_precondition lost, const withdrawn_exchange& exchange,
                    base::monotonic_time now);

/// Logs the prompt's shared parts at level debug; read by `scripts/explain-reads`.
void log_prompt(const relay_plan& plan, const selected_engine& selected,
                const std::vector<core::prefix::scoped_part>& parts);

}  // namespace ferryroad::relay
