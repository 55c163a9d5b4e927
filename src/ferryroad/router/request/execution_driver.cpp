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

runtime::task<void> record_end_of_claim(claim_registry& claims, claim_request claim,
                                        recorded_outcome outcome,
                                        background_work::token /*counted*/) {
    const base::idempotency_key key = claim.key;
    const auto recorded = co_await claims.finish(std::move(claim), std::move(outcome));
    if (recorded.has_error()) {
        runtime::log(runtime::log_level::warning, component, "outcome could not be recorded",
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

execution_driver::execution_driver(const request_collaborators& with, driver_start start)
    : with_(with), start_(std::move(start)), machine_(start_.rules, start_.limits.execution) {
    if (start_.claim) {
        start_.claim->attempt = attempt_id_of(execution::attempt_number(1));
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
    for (execution::action& wanted : machine_.begin(with_.scheduler.now())) {
        pending_.push_back(std::move(wanted));
    }
    while (!machine_.ended() || !pending_.empty()) {
        if (pending_.empty()) {
            co_await continue_exchange();
            continue;
        }
        execution::action wanted = std::move(pending_.front());
        pending_.pop_front();
        co_await perform(std::move(wanted));
    }
}

void execution_driver::interrupt() {
    if (!machine_.ended()) {
        const bool late = with_.scheduler.now() >= start_.rules.deadline;
        feed(late ? execution::event(execution::deadline_passed{})
                  : execution::event(execution::caller_gone{}));
    }
    while (!pending_.empty()) {
        perform_now(pending_.front());
        pending_.pop_front();
    }
}

ended_request execution_driver::figures() const {
    ended_request ended;
    ended.request = start_.request;
    ended.tenant = start_.resolved.tenant->name;
    ended.route = start_.resolved.route->name;
    ended.execution = refused_ ? refused_->execution : machine_.report();
    if (!refused_ && replayed_) {
        ended.execution = replayed_->execution;
        ended.replayed = true;
    }
    ended.attempts = static_cast<std::uint32_t>(machine_.attempts().size());
    ended.resumes = resumes_;
    ended.dropped_answers = machine_.dropped();
    ended.taken = with_.scheduler.now() - start_.arrived;
    return ended;
}

void execution_driver::feed(const execution::event& happened) {
    auto wanted = machine_.handle(happened, with_.scheduler.now(), *start_.budget);
    for (execution::action& each : wanted) {
        pending_.push_back(std::move(each));
    }
    if (machine_.ended()) {
        note_attempt_end();
    }
}

void execution_driver::feed_failure(execution::exchange_number exchange,
                                    const engine::error& failure) {
    const engine::engine_target& target = targets_.back();
    if (failure.code == engine::error_code::refused_leaving) {
        with_.directory.record_leaving(target.name, target.incarnation);
    } else {
        with_.directory.record_failure(target.name, failure.code);
    }
    runtime::log(runtime::log_level::info, component, "exchange failed",
                 {{"request_id", start_.request.value},
                  {"router", with_.self.value},
                  {"engine", target.name.value},
                  {"error", failure.message}});
    note_attempt_end();
    feed(to_event(exchange, failure));
}

void execution_driver::feed_silence(execution::exchange_number exchange) {
    feed_failure(exchange, {engine::error_code::timed_out, engine::proof::unknown,
                            "the engine answers nobody", std::nullopt});
}

runtime::task<void> execution_driver::wait_for_suspicion(base::engine_name engine) {
    try {
        while (!with_.directory.suspected(engine)) {
            co_await with_.scheduler.sleep_for(start_.limits.suspicion_poll);
        }
    } catch (const boost::system::system_error&) {
        co_return;  // Cancelled: the answer came, or nobody wants it.
    }
}

void execution_driver::note_started(const engine::stream_started& started) {
    note_load(started.load);
    with_.selector.record_started(start_.query, selected_, started);
}

void execution_driver::note_load(const engine::load_report& load) {
    load_awaited_ = false;
    with_.directory.record_load(targets_.back().name, load);
}

base::attempt_id execution_driver::attempt_id_of(execution::attempt_number number) const {
    return base::attempt_id(start_.request.value + "-" + std::to_string(number.value));
}

base::duration execution_driver::time_left() const {
    return std::max(start_.rules.deadline - with_.scheduler.now(), base::duration::zero());
}

engine::priority execution_driver::urgency() const {
    return static_cast<engine::priority>(start_.resolved.route->priority);
}

runtime::task<void> execution_driver::perform(execution::action wanted) {
    if (std::holds_alternative<execution::claim_key>(wanted)) {
        co_await claim();
    } else if (auto* selection = std::get_if<execution::select_engine>(&wanted)) {
        co_await select(std::move(selection->excluded));
    } else if (auto* attempt = std::get_if<execution::dispatch_attempt>(&wanted)) {
        co_await dispatch(*attempt);
    } else if (auto* broken = std::get_if<execution::resume_attempt>(&wanted)) {
        engine::engine_target target = targets_.back();
        ++resumes_;
        co_await resume_exchange(*broken, target);
    } else if (std::holds_alternative<execution::emit_token>(wanted)) {
        const bool accepted = co_await emit();
        if (!accepted) {
            feed(execution::caller_gone{});
        }
    } else {
        perform_now(wanted);
    }
}

void execution_driver::perform_now(const execution::action& wanted) {
    if (const auto* live = std::get_if<execution::cancel_attempt>(&wanted)) {
        with_.scheduler.spawn(
            component, cancel_at_engine(with_.engines, targets_.at(live->attempt.value - 1),
                                        attempt_id_of(live->attempt), start_.background.begin()));
    } else if (const auto* given_up = std::get_if<execution::refuse>(&wanted)) {
        refused_ = to_refusal(*given_up);
    } else if (const auto* settled = std::get_if<execution::settle_claim>(&wanted)) {
        settle(settled->settlement);
    }
}

runtime::task<void> execution_driver::claim() {
    claim_request wanted = *start_.claim;
    const auto answer = co_await with_.claims.claim(std::move(wanted));
    if (answer.has_error()) {
        feed(execution::claim_answered{execution::claim_decision::unavailable,
                                       answer.error().retry_after});
        co_return;
    }
    replayed_ = answer->outcome;
    feed(execution::claim_answered{decision_of(answer->answer), {}});
}

runtime::task<void> execution_driver::select(std::vector<base::engine_name> excluded) {
    start_.query.excluded = std::move(excluded);
    start_.query.time_left = time_left();
    selection_query query = start_.query;
    auto selected = co_await with_.selector.select(std::move(query));
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

/// Warm state only saves time: where it can't be had soon the prompt is computed anew.
runtime::task<void> execution_driver::import_state() {
    using boost::asio::experimental::awaitable_operators::operator||;
    const base::duration limit = std::min(start_.limits.import_wait, time_left());
    co_await (import_from(selected_.target, *selected_.import) || with_.scheduler.sleep_for(limit));
}

runtime::task<void> execution_driver::import_from(engine::engine_target target,
                                                  engine::import_request wanted) {
    const auto imported = co_await with_.engines.import_state(target, std::move(wanted));
    if (imported.has_error()) {
        runtime::log(runtime::log_level::info, component, "warm state could not be imported",
                     {{"request_id", start_.request.value}, {"error", imported.error().message}});
    }
}

runtime::task<void> execution_driver::dispatch(execution::dispatch_attempt wanted) {
    engine::engine_target target = selected_.target;
    targets_.push_back(target);
    if (!still_available(target)) {
        feed(execution::exchange_failed{wanted.exchange, execution::failure_kind::stale_target,
                                        execution::failure_proof::not_sent, std::nullopt});
        co_return;
    }
    runtime::log(runtime::log_level::debug, component, "attempt dispatched",
                 {{"request_id", start_.request.value},
                  {"attempt_id", attempt_id_of(wanted.attempt).value},
                  {"router", with_.self.value},
                  {"tenant", start_.resolved.tenant->name.value},
                  {"route", start_.resolved.route->name.value},
                  {"engine", target.name.value}});
    with_.directory.record_dispatch(target.name, expected_prefill());
    load_awaited_ = true;
    co_await open_exchange(wanted, target);
}

bool execution_driver::still_available(const engine::engine_target& target) const {
    const auto view = with_.directory.find(target.name);
    return view && view->target.incarnation == target.incarnation;
}

std::uint64_t execution_driver::expected_prefill() const {
    const std::uint64_t cached =
        std::uint64_t{selected_.expected_cached_pieces} * start_.query.piece_tokens;
    return start_.query.prompt_tokens - std::min(cached, start_.query.prompt_tokens);
}

void execution_driver::note_attempt_end() {
    if (std::exchange(load_awaited_, false)) {
        with_.directory.record_end(targets_.back().name);
    }
}

void execution_driver::settle(execution::claim_settlement settlement) {
    if (settlement == execution::claim_settlement::release) {
        with_.scheduler.spawn(
            component, release_claim(with_.claims, *start_.claim, start_.background.begin()));
        return;
    }
    with_.scheduler.spawn(
        component, record_end_of_claim(with_.claims, *start_.claim, outcome_to_record(settlement),
                                       start_.background.begin()));
}

recorded_outcome execution_driver::outcome_to_record(execution::claim_settlement settlement) const {
    if (settlement == execution::claim_settlement::complete) {
        return whole_outcome();
    }
    recorded_outcome outcome;
    outcome.execution = execution::execution_report::unknown;
    return outcome;
}

}  // namespace ferryroad::router
