#include "ferryroad/caller/refusal_answer.hpp"

#include "ferryroad/caller/event_stream.hpp"
#include "ferryroad/http/json.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryroad::caller {

namespace json = boost::json;
using router::refusal_code;

namespace {

/// One row for each refusal code: its name, HTTP status and OpenAI error type.
struct refusal_row {
    refusal_code code;
    std::string_view name;
    unsigned status;
    std::string_view type;
};

constexpr refusal_row refusal_rows[] = {
    {refusal_code::unauthorized, "unauthorized", 401, "authentication_error"},
    {refusal_code::unknown_route, "unknown_route", 404, "invalid_request_error"},
    {refusal_code::unknown_model, "unknown_model", 404, "invalid_request_error"},
    {refusal_code::invalid_request, "invalid_request", 400, "invalid_request_error"},
    {refusal_code::prompt_too_long, "prompt_too_long", 400, "invalid_request_error"},
    {refusal_code::over_limit, "over_limit", 429, "rate_limit_error"},
    {refusal_code::key_in_use, "key_in_use", 409, "idempotency_error"},
    {refusal_code::overloaded, "overloaded", 503, "overloaded_error"},
    {refusal_code::no_engine, "no_engine", 503, "overloaded_error"},
    {refusal_code::not_ready, "not_ready", 503, "overloaded_error"},
    {refusal_code::platform_unavailable, "platform_unavailable", 503, "overloaded_error"},
    {refusal_code::deadline_exceeded, "deadline_exceeded", 504, "timeout_error"},
    {refusal_code::engine_failed, "engine_failed", 502, "server_error"},
    {refusal_code::outcome_unknown, "outcome_unknown", 502, "server_error"},
};

constexpr unsigned unauthorized_status = 401;

const refusal_row& row_of(refusal_code code) {
    const auto* found = std::find_if(std::begin(refusal_rows), std::end(refusal_rows),
                                     [code](const refusal_row& row) { return row.code == code; });
    return *found;
}

struct error_row {
    unsigned status;
    std::string_view name;
    std::string_view type;
};

error_row row_of(error_code code) {
    switch (code) {
        case error_code::missing_key:
            return {unauthorized_status, "unauthorized", "authentication_error"};
        case error_code::method_not_allowed:
            return {405, "method_not_allowed", "invalid_request_error"};
        case error_code::malformed_body:
            return {400, "malformed_body", "invalid_request_error"};
        case error_code::invalid_field:
        case error_code::invalid_header:
            break;
    }
    return {400, "invalid_request", "invalid_request_error"};
}

json::object error_object(std::string_view type, std::string_view code, std::string_view message,
                          core::execution::execution_report execution) {
    json::object fields;
    fields["type"] = type;
    fields["code"] = code;
    fields["message"] = message;
    fields["execution"] = to_string(execution);
    json::object body;
    body["error"] = std::move(fields);
    return body;
}

/// Formats Retry-After in whole seconds, rounded up and at least 1, so that a caller never retries
/// too early.
std::string retry_after_seconds(base::duration wait) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

http::response json_answer(const base::request_id& request, unsigned status,
                           core::execution::execution_report execution, const json::object& body) {
    http::response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "application/json");
    answer.headers.add(request_id_header, request.value);
    answer.headers.add(execution_header, std::string(to_string(execution)));
    if (status == unauthorized_status) {
        answer.headers.add("WWW-Authenticate", "Bearer");
    }
    answer.body = http::to_text(body);
    return answer;
}

json::object refusal_object(const router::refusal& refused) {
    const refusal_row& row = row_of(refused.code);
    return error_object(row.type, row.name, refused.message, refused.execution);
}

}  // namespace

std::string_view to_string(refusal_code code) {
    return row_of(code).name;
}

unsigned status_of(refusal_code code) {
    return row_of(code).status;
}

http::response refusal_answer(const base::request_id& request, const router::refusal& refused) {
    http::response answer =
        json_answer(request, status_of(refused.code), refused.execution, refusal_object(refused));
    if (refused.retry_after) {
        answer.headers.add("Retry-After", retry_after_seconds(*refused.retry_after));
    }
    return answer;
}

http::response error_answer(const base::request_id& request, const error& failure) {
    constexpr auto not_run = core::execution::execution_report::not_run;
    const error_row row = row_of(failure.code);
    return json_answer(request, row.status, not_run,
                       error_object(row.type, row.name, failure.message, not_run));
}

void mark_not_run(const base::request_id& request, http::response& answer) {
    const std::string execution(to_string(core::execution::execution_report::not_run));
    answer.headers.add(request_id_header, request.value);
    answer.headers.add(execution_header, execution);
    auto body = http::parse_json(answer.body);
    if (body.has_error() || !body->is_object() || !body->get_object().contains("error")) {
        return;
    }
    body->get_object().at("error").as_object()["execution"] = execution;
    answer.body = http::to_text(*body);
}

std::string refusal_event(const router::refusal& refused) {
    json::object body = refusal_object(refused);
    body["ferryroad"] = json::object{{"execution", to_string(refused.execution)}};
    return data_event(http::to_text(body));
}

}  // namespace ferryroad::caller
