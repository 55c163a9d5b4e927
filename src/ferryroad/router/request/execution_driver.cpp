#include "ferryroad/router/request/execution_driver.hpp"

#include "ferryroad/router/request/engine_failures.hpp"
#include "ferryroad/runtime/log.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace ferryroad::router {

namespace execution = core::execution;

namespace {

constexpr const char* component = "router.request";

runtime::task<void> cancel_at_engine(engine::client& engines, engine::engine_target target,
                                     base::attempt_id attempt, background_work::token /*counted*/) {
    const auto cancelled = co_await engines.cancel(target, attempt);
    if (cancelled.has_error()) {
        runtime::log(runtime::log_level::warning, component, "attempt could not be cancelled",
                     {{"attempt_id", attempt.value}, {"engine", target.name.value}});
    }
}

runtime::task<void> finish_claim(claim_registry& claims, claim_request claim,
                                 recorded_outcome outcome, background_work::token /*counted*/) {
    const base::idempotency_key key = claim.key;
    const auto recorded = co_await claims.finish(std::move(claim), std::move(outcome));
    if (recorded.has_error()) {
        runtime::log(runtime::log_level::warning, component,
                     "could not record the outcome; the key will be closed as unknown",
                     {{"key", key.value}, {"error", recorded.error().message}});
    }
}

runtime::task<void> release_claim(claim_registry& claims, claim_request claim,
                                  background_work::token /*counted*/) {
    const base::idempotency_key key = claim.key;
    const auto released = co_await claims.release(std::move(claim));
    if (released.has_error()) {
        runtime::log(runtime::log_level::warning, component, "claim could not be released",
                     {{"key", key.value}, {"error", released.error().message}});
    }
}

execution::claim_decision decision_of(claim_answer answer) {
    switch (answer) {
        case claim_answer::granted:
            return execution::claim_decision::granted;
        case claim_answer::finished:
            return execution::claim_decision::finished;
        case claim_answer::in_progress:
            return execution::claim_decision::in_progress;
        case claim_answer::other_content:
            break;
    }
    return execution::claim_decision::other_content;
}

}  // namespace

execution_driver::execution_driver(const request_collaborators& collaborators,
                                   request_context context)
    : collaborators_(collaborators),
      context_(std::move(context)),
      machine_(context_.rules, context_.limits.execution) {
    if (context_.claim) {
        context_.claim->attempt = attempt_id_of(execution::attempt_number(1));
    }
}

runtime::task<void> execution_driver::drive() {
    try {
        co_await run();
    } catch (...) {
        runtime::log_exception(component, std::current_exception());
    }
}

runtime::task<void> execution_driver::run() {
    for (execution::action& action : machine_.begin(collaborators_.scheduler.now())) {
        pending_actions_.push_back(std::move(action));
    }
    while (!machine_.ended() || !pending_actions_.empty()) {
        if (pending_actions_.empty()) {
            co_await continue_exchange();
            continue;
        }
        execution::action action = std::move(pending_actions_.front());
        pending_actions_.pop_front();
        co_await perform(std::move(action));
    }
}

void execution_driver::interrupt() {
    if (!machine_.ended()) {
        const bool late = collaborators_.scheduler.now() >= context_.rules.deadline;
        feed(late ? execution::event(execution::deadline_passed{})
                  : execution::event(execution::caller_gone{}));
    }
    while (!pending_actions_.empty()) {
        perform_now(pending_actions_.front());
        pending_actions_.pop_front();
    }
}

ended_request execution_driver::statistics() const {
    ended_request ended;
    ended.request = context_.request;
    ended.tenant = context_.resolved.tenant->name;
    ended.route = context_.resolved.route->name;
    ended.execution = refused_ ? refused_->execution : machine_.report();
    if (!refused_ && replayed_) {
        ended.execution = replayed_->execution;
        ended.replayed = true;
    }
    ended.attempts = static_cast<std::uint32_t>(machine_.attempts().size());
    ended.resumes = resumes_;
    ended.dropped_answers = machine_.dropped();
    ended.taken = collaborators_.scheduler.now() - context_.arrived;
    return ended;
}

void execution_driver::feed(const execution::event& input_event) {
    auto actions = machine_.handle(input_event, collaborators_.scheduler.now(), *context_.budget);
    for (execution::action& action : actions) {
        pending_actions_.push_back(std::move(action));
    }
    if (machine_.ended()) {
        handle_attempt_end();
    }
}

void execution_driver::feed_failure(execution::exchange_number exchange,
                                    const engine::error& failure) {
    const engine::engine_target& target = targets_.back();
    if (failure.code == engine::error_code::refused_leaving) {
        collaborators_.directory.record_leaving(target.name, target.incarnation);
    } else {
        collaborators_.directory.record_failure(target.name, failure.code);
    }
    runtime::log(runtime::log_level::info, component, "exchange failed",
                 {{"request_id", context_.request.value},
                  {"router", collaborators_.self.value},
                  {"engine", target.name.value},
                  {"error", failure.message}});
    handle_attempt_end();
    feed(to_event(exchange, failure));
}

void execution_driver::abandon_exchange(execution::exchange_number exchange) {
    feed_failure(exchange,
                 {engine::error_code::timed_out, engine::proof::unknown,
                  "the engine is suspected to be unresponsive; exchange abandoned", std::nullopt});
}

runtime::task<void> execution_driver::wait_for_suspicion(base::engine_name engine) {
    try {
        while (!collaborators_.directory.suspected(engine)) {
            co_await collaborators_.scheduler.sleep_for(context_.limits.suspicion_poll_interval);
        }
    } catch (const boost::system::system_error&) {
        co_return;  // Cancelled because the answer arrived or the request was cancelled.
    }
}

void execution_driver::handle_started(const engine::stream_started& started) {
    handle_load(started.load);
    collaborators_.selector.record_started(context_.query, selected_, started);
}

void execution_driver::handle_load(const engine::load_report& load) {
    awaiting_load_report_ = false;
    collaborators_.directory.record_load(targets_.back().name, load);
}

base::attempt_id execution_driver::attempt_id_of(execution::attempt_number number) const {
    return base::attempt_id(context_.request.value + "-" + std::to_string(number.value));
}

base::duration execution_driver::time_left() const {
    return std::max(context_.rules.deadline - collaborators_.scheduler.now(),
                    base::duration::zero());
}

engine::priority execution_driver::urgency() const {
    return static_cast<engine::priority>(context_.resolved.route->priority);
}

runtime::task<void> execution_driver::perform(execution::action action) {
    if (std::holds_alternative<execution::claim_key>(action)) {
        co_await claim();
    } else if (auto* select_action = std::get_if<execution::select_engine>(&action)) {
        co_await select(std::move(select_action->excluded));
    } else if (auto* dispatch_action = std::get_if<execution::dispatch_attempt>(&action)) {
        co_await dispatch(*dispatch_action);
    } else if (auto* resume_action = std::get_if<execution::resume_attempt>(&action)) {
        engine::engine_target target = targets_.back();
        ++resumes_;
        co_await resume_exchange(*resume_action, target);
    } else if (std::holds_alternative<execution::emit_token>(action)) {
        const bool accepted = co_await emit();
        if (!accepted) {
            feed(execution::caller_gone{});
        }
    } else {
        perform_now(action);
    }
}

void execution_driver::perform_now(const execution::action& action) {
    if (const auto* cancel_action = std::get_if<execution::cancel_attempt>(&action)) {
        collaborators_.scheduler.spawn(
            component,
            cancel_at_engine(collaborators_.engines, targets_.at(cancel_action->attempt.value - 1),
                             attempt_id_of(cancel_action->attempt), context_.background.begin()));
    } else if (const auto* refuse_action = std::get_if<execution::refuse>(&action)) {
        refused_ = to_refusal(*refuse_action);
    } else if (const auto* settle_action = std::get_if<execution::settle_claim>(&action)) {
        settle(settle_action->settlement);
    }
}

runtime::task<void> execution_driver::claim() {
    claim_request request = *context_.claim;
    const auto answer = co_await collaborators_.claims.claim(std::move(request));
    if (answer.has_error()) {
        feed(execution::claim_answered{execution::claim_decision::unavailable,
                                       answer.error().retry_after});
        co_return;
    }
    replayed_ = answer->outcome;
    feed(execution::claim_answered{decision_of(answer->answer), {}});
}

runtime::task<void> execution_driver::select(std::vector<base::engine_name> excluded) {
    context_.query.excluded = std::move(excluded);
    context_.query.time_left = time_left();
    selection_query query = context_.query;
    auto selected = co_await collaborators_.selector.select(std::move(query));
    if (selected.has_error()) {
        feed(to_event(selected.error()));
        co_return;
    }
    selected_ = std::move(*selected);
    if (selected_.import) {
        co_await import_state();
    }
    feed(execution::engine_selected{{selected_.target.name, selected_.target.incarnation}});
}

/// The import is optional: if it fails or takes too long, the engine recomputes the prompt.
runtime::task<void> execution_driver::import_state() {
    using boost::asio::experimental::awaitable_operators::operator||;
    const base::duration limit = std::min(context_.limits.import_timeout, time_left());
    co_await (import_from(selected_.target, *selected_.import) ||
              collaborators_.scheduler.sleep_for(limit));
}

runtime::task<void> execution_driver::import_from(engine::engine_target target,
                                                  engine::import_request request) {
    const auto imported = co_await collaborators_.engines.import_state(target, std::move(request));
    if (imported.has_error()) {
        runtime::log(runtime::log_level::info, component,
                     "could not import warm state; the engine recomputes the prompt",
                     {{"request_id", context_.request.value}, {"error", imported.error().message}});
    }
}

runtime::task<void> execution_driver::dispatch(execution::dispatch_attempt action) {
    engine::engine_target target = selected_.target;
    targets_.push_back(target);
    if (!still_available(target)) {
        feed(execution::exchange_failed{action.exchange, execution::failure_kind::stale_target,
                                        execution::failure_proof::not_sent, std::nullopt});
        co_return;
    }
    runtime::log(runtime::log_level::debug, component, "attempt dispatched",
                 {{"request_id", context_.request.value},
                  {"attempt_id", attempt_id_of(action.attempt).value},
                  {"router", collaborators_.self.value},
                  {"tenant", context_.resolved.tenant->name.value},
                  {"route", context_.resolved.route->name.value},
                  {"engine", target.name.value}});
    collaborators_.directory.record_dispatch(target.name, expected_prefill());
    awaiting_load_report_ = true;
    co_await open_exchange(action, target);
}

bool execution_driver::still_available(const engine::engine_target& target) const {
    const auto view = collaborators_.directory.find(target.name);
    return view && view->target.incarnation == target.incarnation;
}

std::uint64_t execution_driver::expected_prefill() const {
    const std::uint64_t cached =
        std::uint64_t{selected_.expected_cached_pieces} * context_.query.piece_tokens;
    return context_.query.prompt_tokens - std::min(cached, context_.query.prompt_tokens);
}

void execution_driver::handle_attempt_end() {
    if (std::exchange(awaiting_load_report_, false)) {
        collaborators_.directory.record_end(targets_.back().name);
    }
}

void execution_driver::settle(execution::claim_settlement settlement) {
    if (settlement == execution::claim_settlement::release) {
        collaborators_.scheduler.spawn(
            component,
            release_claim(collaborators_.claims, *context_.claim, context_.background.begin()));
        return;
    }
    collaborators_.scheduler.spawn(
        component, finish_claim(collaborators_.claims, *context_.claim,
                                outcome_to_record(settlement), context_.background.begin()));
}

recorded_outcome execution_driver::outcome_to_record(execution::claim_settlement settlement) const {
    if (settlement == execution::claim_settlement::complete) {
        return complete_outcome();
    }
    recorded_outcome outcome;
    outcome.execution = execution::execution_report::unknown;
    return outcome;
}

}  // namespace ferryroad::router
