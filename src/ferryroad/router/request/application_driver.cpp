#include "ferryroad/router/request/application_driver.hpp"

#include <utility>

namespace ferryroad::router {

namespace execution = core::execution;

application_driver::application_driver(const request_collaborators& collaborators,
                                       request_context context, application_call call)
    : execution_driver(collaborators, std::move(context)), call_(std::move(call)) {}

runtime::task<void> application_driver::open_exchange(execution::dispatch_attempt action,
                                                      engine::engine_target target) {
    engine::application_request request = request_for(action);
    auto answered = co_await await_unless_suspected(
        collaborators().engines.call_application(target, std::move(request)));
    if (!answered) {
        abandon_exchange(action.exchange);
        co_return;
    }
    if (answered->has_error()) {
        feed_failure(action.exchange, answered->error());
        co_return;
    }
    engine::application_answer& answer = **answered;
    reply_ = {answer.status, std::move(answer.content_type), std::move(answer.body)};
    feed(execution::exchange_ended{action.exchange, 0});
}

// Application calls have no stream, so the state machine never requests the actions below.
runtime::task<void> application_driver::resume_exchange(execution::resume_attempt action,
                                                        engine::engine_target) {
    feed(execution::exchange_failed{action.exchange, execution::failure_kind::attempt_gone,
                                    execution::failure_proof::unknown, std::nullopt});
    co_return;
}

runtime::task<void> application_driver::continue_exchange() {
    feed(execution::caller_gone{});
    co_return;
}

runtime::task<bool> application_driver::emit() {
    co_return true;
}

recorded_outcome application_driver::complete_outcome() const {
    recorded_outcome outcome;
    outcome.execution = execution::execution_report::complete;
    if (reply_.body.size() > context().limits.max_recorded_body_bytes) {
        return outcome;  // The call is complete, but the answer is too long to record.
    }
    outcome.status = reply_.status;
    outcome.content_type = reply_.content_type;
    outcome.body = reply_.body;
    return outcome;
}

engine::application_request application_driver::request_for(
    const execution::dispatch_attempt& action) const {
    engine::application_request request;
    request.request = context().request;
    request.attempt = attempt_id_of(action.attempt);
    request.key = call_.key;
    request.tenant = context().resolved.tenant->name;
    request.expected_incarnation = action.engine.incarnation;
    request.urgency = urgency();
    request.method = call_.method;
    request.path = call_.path;
    request.content_type = call_.content_type;
    request.body = call_.body;
    request.time_left = time_left();
    return request;
}

}  // namespace ferryroad::router
