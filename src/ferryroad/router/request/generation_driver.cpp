#include "ferryroad/router/request/generation_driver.hpp"

#include "ferryroad/router/request/recorded_generation.hpp"

#include <algorithm>
#include <utility>

namespace ferryroad::router {

namespace execution = core::execution;

generation_driver::generation_driver(const request_collaborators& collaborators,
                                     request_context context,
                                     std::shared_ptr<const std::string> prompt,
                                     std::optional<base::idempotency_key> key, token_sink& sink)
    : execution_driver(collaborators, std::move(context)),
      prompt_(std::move(prompt)),
      key_(std::move(key)),
      sink_(sink) {
    summary_.prompt_tokens = this->context().resolved.prompt_tokens;
}

runtime::task<void> generation_driver::open_exchange(execution::dispatch_attempt action,
                                                     engine::engine_target target) {
    stream_.reset();
    engine::generation_request request = request_for(action);
    auto opened = co_await await_unless_suspected(
        collaborators().engines.generate(target, std::move(request)));
    set_stream(std::move(opened), action.exchange);
}

runtime::task<void> generation_driver::resume_exchange(execution::resume_attempt action,
                                                       engine::engine_target target) {
    stream_.reset();
    const base::attempt_id attempt = attempt_id_of(action.attempt);
    auto opened = co_await await_unless_suspected(
        collaborators().engines.resume(target, attempt, action.first_token));
    set_stream(std::move(opened), action.exchange);
}

void generation_driver::set_stream(std::optional<opened_stream> opened,
                                   execution::exchange_number exchange) {
    if (!opened) {
        abandon_exchange(exchange);
        return;
    }
    if (opened->has_error()) {
        feed_failure(exchange, opened->error());
        return;
    }
    stream_ = std::move(**opened);
    exchange_ = exchange;
    token_seen_ = false;
}

runtime::task<void> generation_driver::continue_exchange() {
    std::optional<next_event> next;
    if (token_seen_) {
        // Between tokens the stream's own idle timeout applies.
        next = co_await stream_->next();
    } else {
        next = co_await await_unless_suspected(stream_->next());
    }
    if (!next) {
        stream_.reset();
        abandon_exchange(exchange_);
        co_return;
    }
    if (next->has_error()) {
        stream_.reset();
        feed_failure(exchange_, next->error());
        co_return;
    }
    std::visit([this](auto& received) { handle(std::move(received)); }, **next);
}

void generation_driver::handle(const engine::stream_started& started) {
    if (execution().emitted_tokens() == 0) {
        const std::uint32_t cached = started.cached_pieces * context().query.piece_tokens;
        summary_.cached_tokens = std::min(cached, summary_.prompt_tokens);
    }
    handle_started(started);
    feed(execution::exchange_started{exchange_});
}

void generation_driver::handle(engine::stream_token token) {
    token_seen_ = true;
    received_ = std::move(token);
    feed(execution::token_received{exchange_, received_.index});
}

void generation_driver::handle(const engine::stream_end& end) {
    stream_.reset();
    handle_load(end.load);
    if (end.reason == engine::finish_reason::cancelled) {
        feed(execution::exchange_failed{exchange_, execution::failure_kind::attempt_gone,
                                        execution::failure_proof::unknown, std::nullopt});
        return;
    }
    summary_.reason = end.reason;
    summary_.tokens = end.tokens;
    feed(execution::exchange_ended{exchange_, end.tokens});
}

runtime::task<bool> generation_driver::emit() {
    engine::stream_token token = std::move(received_);
    if (context().claim) {
        recorded_tokens_.push_back(token.text);
    }
    const bool accepted = co_await sink_.accept(std::move(token));
    co_return accepted;
}

recorded_outcome generation_driver::complete_outcome() const {
    return record_generation(summary_, recorded_tokens_, context().limits.max_recorded_body_bytes);
}

engine::generation_request generation_driver::request_for(
    const execution::dispatch_attempt& action) const {
    engine::generation_request request;
    request.request = context().request;
    request.attempt = attempt_id_of(action.attempt);
    request.key = key_;
    request.scope = context().query.scope;
    request.expected_incarnation = action.engine.incarnation;
    request.urgency = urgency();
    request.prompt = prompt_;
    request.max_tokens = context().resolved.max_tokens;
    request.first_token = action.first_token;
    request.time_left = time_left();
    return request;
}

}  // namespace ferryroad::router
