#include "ferryroad/router/request/application_driver.hpp"

#include <utility>

namespace ferryroad::router {

namespace execution = core::execution;

application_driver::application_driver(const request_collaborators& with, driver_start start,
                                       application_call call)
    : execution_driver(with, std::move(start)), call_(std::move(call)) {}

runtime::task<void> application_driver::open_exchange(execution::dispatch_attempt wanted,
                                                      engine::engine_target target) {
    engine::application_request request = request_for(wanted);
    auto answered =
        co_await unless_suspected(with().engines.call_application(target, std::move(request)));
    if (!answered) {
        feed_silence(wanted.exchange);
        co_return;
    }
    if (answered->has_error()) {
        feed_failure(wanted.exchange, answered->error());
        co_return;
    }
    engine::application_answer& answer = **answered;
    reply_ = {answer.status, std::move(answer.content_type), std::move(answer.body)};
    feed(execution::exchange_ended{wanted.exchange, 0});
}

// Whole answers have no stream: the machine never asks for these.
runtime::task<void> application_driver::resume_exchange(execution::resume_attempt wanted,
                                                        engine::engine_target) {
    feed(execution::exchange_failed{wanted.exchange, execution::failure_kind::attempt_gone,
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

recorded_outcome application_driver::whole_outcome() const {
    recorded_outcome outcome;
    outcome.execution = execution::execution_report::complete;
    if (reply_.body.size() > start().limits.recorded_body_bytes) {
        return outcome;  // Complete, without its answer.
    }
    outcome.status = reply_.status;
    outcome.content_type = reply_.content_type;
    outcome.body = reply_.body;
    return outcome;
}

engine::application_request application_driver::request_for(
    const execution::dispatch_attempt& wanted) const {
    engine::application_request request;
    request.request = start().request;
    request.attempt = attempt_id_of(wanted.attempt);
    request.key = call_.key;
    request.tenant = start().resolved.tenant->name;
    request.expected_incarnation = wanted.engine.incarnation;
    request.urgency = urgency();
    request.method = call_.method;
    request.path = call_.path;
    request.content_type = call_.content_type;
    request.body = call_.body;
    request.time_left = time_left();
    return request;
}

}  // namespace ferryroad::router
