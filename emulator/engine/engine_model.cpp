#include "emulator/engine/engine_model.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::emulator {

namespace {

engine::error refuse(engine::error_code code, std::string message,
                     std::optional<base::duration> retry_after = std::nullopt) {
    return {code, engine::proof::not_run, std::move(message), retry_after};
}

/// Delay that callers are asked to wait when the queue is full.
constexpr base::duration overload_retry_after = std::chrono::seconds(1);

}  // namespace

engine_model::engine_model(engine_model_settings settings, base::incarnation process)
    : settings_(std::move(settings)),
      process_(process),
      model_(settings_.model),
      version_(settings_.version),
      adapters_(settings_.adapters),
      cache_(settings_.capacity_pieces),
      journal_({.lag = settings_.event_lag, .loss_interval = settings_.event_loss_interval}),
      history_(settings_.load_lag),
      scheduler_(settings_, cache_, observe_scheduler()) {}

scheduler_observer engine_model::observe_scheduler() {
    scheduler_observer observer;
    observer.started = [this](attempt_handle attempt, std::uint32_t cached,
                              base::monotonic_time at) { on_started(attempt, cached, at); };
    observer.token = [this](attempt_handle attempt, std::uint32_t index, base::monotonic_time at) {
        on_token(attempt, index, at);
    };
    observer.finished = [this](attempt_handle attempt, base::monotonic_time at) {
        on_finished(attempt, at);
    };
    observer.stepped = [this](base::monotonic_time at) { publish(at); };
    return observer;
}

void engine_model::on_started(attempt_handle attempt, std::uint32_t cached,
                              base::monotonic_time at) {
    execution_record& record = executions_[record_index(attempt)];
    record.state = execution_state::running;
    record.cached_pieces = cached;
    engine::stream_started started{process_, cached, record.total_pieces, report(at)};
    attempts_.at(attempt).started = started;
    outputs_.push_back({attempt, at, std::move(started)});
}

void engine_model::on_token(attempt_handle attempt, std::uint32_t index, base::monotonic_time at) {
    execution_record& record = executions_[record_index(attempt)];
    ++record.tokens;
    attempt_entry& entry = attempts_.at(attempt);
    entry.next_token = index + 1;
    if (index >= entry.emit_from) {
        engine::stream_token token{index, answer_token(record.prompt_sha256, index)};
        outputs_.push_back({attempt, at, std::move(token)});
    }
}

void engine_model::on_finished(attempt_handle attempt, base::monotonic_time at) {
    const bool stopped =
        settings_.answer_tokens != 0 && attempts_.at(attempt).end_token == settings_.answer_tokens;
    const auto reason = stopped ? engine::finish_reason::stop : engine::finish_reason::length;
    end_attempt(attempt, reason, execution_state::complete, at);
}

void engine_model::publish(base::monotonic_time at) {
    for (const cache_update& update : cache_.take_updates()) {
        journal_.append(update, at);
    }
    const scheduler_figures& figures = scheduler_.figures();
    history_.record(
        at, {figures.running, figures.queued, figures.queued_prefill_tokens, cache_.size()});
}

outcome<attempt_handle> engine_model::submit(const engine::generation_request& request,
                                             base::monotonic_time now) {
    return submit(request, summarize_prompt(request.scope, *request.prompt, settings_.piece_bytes),
                  now);
}

outcome<attempt_handle> engine_model::submit(const engine::generation_request& request,
                                             prompt_summary summary, base::monotonic_time now) {
    run(now);
    if (auto refusal = check_admission(request, summary)) {
        return std::move(*refusal);
    }
    return admit(request, std::move(summary), now);
}

std::optional<engine::error> engine_model::check_admission(
    const engine::generation_request& request, const prompt_summary& summary) const {
    using engine::error_code;
    if (auto refusal = check_process(request.expected_incarnation)) {
        return refusal;
    }
    if (known_attempts_.contains(request.attempt)) {
        return engine::error{error_code::refused_bad_request, engine::proof::unknown,
                             "attempt id known already", std::nullopt};
    }
    if (leaving_) {
        return refuse(error_code::refused_leaving, "leaving");
    }
    if (!serves(request.scope)) {
        return refuse(error_code::refused_version, "model, version or adapter not loaded");
    }
    const std::uint64_t tokens = std::uint64_t{summary.tokens} + request.max_tokens;
    if (tokens > settings_.context_tokens) {
        return refuse(error_code::refused_bad_request, "prompt and answer exceed the context");
    }
    if (request.first_token > end_token_of(request.max_tokens)) {
        return refuse(error_code::refused_bad_request, "first_token is past the answer's end");
    }
    return check_capacity();
}

std::optional<engine::error> engine_model::check_capacity() const {
    using engine::error_code;
    if (!model_orders_.empty()) {
        return refuse(error_code::refused_overloaded, "loading a model", settings_.model_load);
    }
    if (refuse_overloaded_ || scheduler_.figures().queued >= settings_.queue_limit) {
        return refuse(error_code::refused_overloaded, "queue full", overload_retry_after);
    }
    return std::nullopt;
}

std::optional<engine::error> engine_model::check_process(base::incarnation expected) const {
    if (down_) {
        return engine::error{engine::error_code::connect_failed, engine::proof::not_sent, "down",
                             std::nullopt};
    }
    if (expected != process_) {
        return refuse(engine::error_code::refused_incarnation,
                      "incarnation is " + std::to_string(process_.value));
    }
    return std::nullopt;
}

bool engine_model::serves(const core::prefix::cache_namespace& scope) const {
    const bool adapter_loaded =
        scope.adapter.value.empty() ||
        std::find(adapters_.begin(), adapters_.end(), scope.adapter) != adapters_.end();
    return scope.model == model_ && scope.version == version_ && adapter_loaded;
}

std::uint32_t engine_model::end_token_of(std::uint32_t max_tokens) const {
    return settings_.answer_tokens == 0 ? max_tokens
                                        : std::min(max_tokens, settings_.answer_tokens);
}

attempt_handle engine_model::admit(const engine::generation_request& request,
                                   prompt_summary summary, base::monotonic_time now) {
    execution_record record;
    record.process = process_;
    record.request = request.request;
    record.attempt = request.attempt;
    record.key = request.key;
    record.scope = request.scope;
    record.first_token = request.first_token;
    record.total_pieces = static_cast<std::uint32_t>(summary.pieces.size());
    record.prompt_sha256 = std::move(summary.sha256);
    executions_.push_back(std::move(record));
    const attempt_handle attempt{executions_.size()};
    known_attempts_.emplace(request.attempt, attempt);

    const std::uint32_t end_token = end_token_of(request.max_tokens);
    attempt_entry& entry = attempts_[attempt];
    entry.next_token = request.first_token;
    entry.emit_from = request.first_token;
    entry.end_token = end_token;
    scheduler_.add({attempt, request.urgency, request.scope, std::move(summary.pieces),
                    summary.tokens, request.first_token, end_token},
                   now);
    publish(now);
    return attempt;
}

outcome<attempt_handle> engine_model::resume(const base::attempt_id& attempt,
                                             std::uint32_t first_token, base::incarnation expected,
                                             base::monotonic_time now) {
    run(now);
    if (auto refusal = check_process(expected)) {
        return std::move(*refusal);
    }
    const auto known = known_attempts_.find(attempt);
    const auto found =
        known == known_attempts_.end() ? attempts_.end() : attempts_.find(known->second);
    if (found == attempts_.end()) {
        return engine::error{engine::error_code::not_found, engine::proof::unknown,
                             "no such attempt", std::nullopt};
    }
    attempt_entry& entry = found->second;
    if (first_token < executions_[record_index(known->second)].first_token ||
        first_token > entry.end_token) {
        return engine::error{engine::error_code::refused_bad_request, engine::proof::unknown,
                             "first_token is outside the attempt", std::nullopt};
    }
    entry.emit_from = first_token;
    std::erase_if(detached_,
                  [&](const deadline& detached) { return detached.attempt == known->second; });
    replay(known->second, entry, now);
    return known->second;
}

void engine_model::replay(attempt_handle attempt, attempt_entry& entry, base::monotonic_time now) {
    std::erase_if(outputs_, [&](const model_output& output) { return output.attempt == attempt; });
    if (entry.started) {
        outputs_.push_back({attempt, now, *entry.started});
    }
    const std::string& digest = executions_[record_index(attempt)].prompt_sha256;
    for (std::uint32_t index = entry.emit_from; index < entry.next_token; ++index) {
        engine::stream_token token{index, answer_token(digest, index)};
        outputs_.push_back({attempt, now, std::move(token)});
    }
    if (entry.ended) {
        outputs_.push_back({attempt, now, *entry.ended});
    }
}

void engine_model::cancel(const base::attempt_id& attempt, base::monotonic_time now) {
    run(now);
    const auto known = known_attempts_.find(attempt);
    if (known != known_attempts_.end()) {
        cancel_attempt(known->second, now);
    }
}

void engine_model::cancel_attempt(attempt_handle attempt, base::monotonic_time at) {
    if (scheduler_.cancel(attempt)) {
        end_attempt(attempt, engine::finish_reason::cancelled, execution_state::cancelled, at);
        publish(at);
        begin_model_load(at);
    }
}

void engine_model::end_attempt(attempt_handle attempt, engine::finish_reason reason,
                               execution_state state, base::monotonic_time at) {
    executions_[record_index(attempt)].state = state;
    attempt_entry& entry = attempts_.at(attempt);
    entry.ended = engine::stream_end{reason, entry.next_token, report(at)};
    outputs_.push_back({attempt, at, *entry.ended});
    ended_.push_back({at + settings_.resume_window, attempt});
}

void engine_model::detach(attempt_handle attempt, base::monotonic_time now) {
    run(now);
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end() && !found->second.ended) {
        detached_.push_back({now + settings_.detached_limit, attempt});
    }
}

std::vector<model_output> engine_model::advance(base::monotonic_time now) {
    run(now);
    return std::exchange(outputs_, {});
}

const execution_record& engine_model::execution(attempt_handle attempt) const {
    return executions_[record_index(attempt)];
}

engine::load_report engine_model::load(base::monotonic_time now) {
    run(now);
    return report(now);
}

engine::load_report engine_model::report(base::monotonic_time at) const {
    const load_figures figures = history_.read(at);
    engine::load_report load;
    load.name = settings_.name;
    load.incarnation = process_;
    load.role = role_;
    load.model = model_;
    load.version = version_;
    load.adapters = adapters_;
    load.leaving = leaving_;
    load.running = figures.running;
    load.queued = figures.queued;
    load.queued_prefill_tokens = figures.queued_prefill_tokens;
    load.cached_pieces = figures.cached_pieces;
    load.capacity_pieces = settings_.capacity_pieces;
    load.prefill_tokens_per_second = scheduler_.prefill_tokens_per_second();
    load.decode_seconds_per_token = scheduler_.decode_seconds_per_token();
    load.age = history_.lag();
    return load;
}

engine::cache_event_batch engine_model::events_since(base::incarnation process, std::uint64_t from,
                                                     base::monotonic_time now) {
    run(now);
    if (process == process_) {
        return journal_.read(process_, from, now);
    }
    engine::cache_event_batch batch = journal_.read(process_, 1, now);
    batch.gap = true;
    return batch;
}

std::optional<base::monotonic_time> engine_model::next_event_publication(
    base::monotonic_time now) const {
    return journal_.next_publication(now);
}

}  // namespace ferryroad::emulator
