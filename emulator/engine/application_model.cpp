#include "emulator/engine/application_model.hpp"

#include "ferryroad/base/digest.hpp"

#include <utility>

namespace ferryroad::emulator {

namespace {

engine::error refuse(engine::error_code code, std::string message) {
    return {code, engine::proof::not_run, std::move(message), std::nullopt};
}

}  // namespace

application_model::application_model(application_model_settings settings, base::incarnation process)
    : settings_(std::move(settings)), process_(process) {}

std::optional<engine::error> application_model::check(
    const engine::application_request& request) const {
    using engine::error_code;
    if (down_) {
        return engine::error{error_code::connect_failed, engine::proof::not_sent, "down",
                             std::nullopt};
    }
    if (request.expected_incarnation != process_) {
        return refuse(error_code::refused_incarnation,
                      "incarnation is " + std::to_string(process_.value));
    }
    if (known_attempts_.contains(request.attempt)) {
        return engine::error{error_code::refused_bad_request, engine::proof::unknown,
                             "attempt id known already", std::nullopt};
    }
    if (leaving_) {
        return refuse(error_code::refused_leaving, "leaving");
    }
    if (refuse_overloaded_ || running_.size() >= settings_.concurrent_calls) {
        return refuse(error_code::refused_overloaded, "too many calls");
    }
    return std::nullopt;
}

outcome<call_ticket> application_model::submit(const engine::application_request& request,
                                               base::monotonic_time now) {
    if (auto refusal = check(request)) {
        return std::move(*refusal);
    }
    execution_record record;
    record.process = process_;
    record.request = request.request;
    record.attempt = request.attempt;
    record.key = request.key;
    record.scope.tenant = request.tenant;
    record.kind = engine::engine_kind::application;
    record.state = execution_state::running;
    record.prompt_sha256 = base::sha256_hex(request.body);
    executions_.push_back(std::move(record));
    const attempt_handle attempt{executions_.size()};
    known_attempts_.emplace(request.attempt, attempt);
    running_.emplace(attempt, request.attempt);
    const double seconds = slow_factor_ * base::to_seconds(settings_.service_time);
    return call_ticket{attempt, now + base::from_seconds(seconds)};
}

bool application_model::finish(attempt_handle attempt) {
    if (running_.erase(attempt) == 0) {
        return false;
    }
    executions_[attempt.value - 1].state = execution_state::complete;
    return true;
}

engine::load_report application_model::load() const {
    engine::load_report load;
    load.name = settings_.name;
    load.incarnation = process_;
    load.kind = engine::engine_kind::application;
    load.leaving = leaving_;
    load.running = static_cast<std::uint32_t>(running_.size());
    return load;
}

void application_model::crash() {
    down_ = true;
    for (const auto& [attempt, id] : running_) {
        executions_[attempt.value - 1].state = execution_state::failed;
    }
    running_.clear();
    known_attempts_.clear();
}

void application_model::restart(base::incarnation process) {
    process_ = process;
    down_ = false;
    leaving_ = false;
}

}  // namespace ferryroad::emulator
