#include "ferryroad/relay/refusal.hpp"

#include "ferryroad/http/error_response.hpp"

#include <array>
#include <cstdio>
#include <string>

namespace ferryroad::relay {

namespace {

using core::execution::execution_report;
using core::execution::refusal_reason;

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned too_many_requests = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

refusal_cause cause_of(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::overloaded:
        case refusal_reason::rejected:
            return refusal_cause::overloaded;
        case refusal_reason::no_engine:
            return refusal_cause::no_engine;
        case refusal_reason::deadline_exceeded:
            return refusal_cause::deadline_exceeded;
        case refusal_reason::caller_gone:
            return refusal_cause::caller_gone;
        default:
            return refusal_cause::engine_failed;
    }
}

unsigned status_of(const relay_refusal& refusal) {
    switch (refusal.cause) {
        case refusal_cause::malformed:
            return bad_request;
        case refusal_cause::unknown_key:
            return unauthorized;
        case refusal_cause::no_route:
            return not_found;
        case refusal_cause::over_quota:
            return too_many_requests;
        default:
            break;
    }
    if (refusal.report == execution_report::not_run) {
        return unavailable;
    }
    return refusal.cause == refusal_cause::deadline_exceeded ? gateway_timeout : bad_gateway;
}

std::string seconds_text(base::duration delay) {
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.2f", base::to_seconds(delay));
    return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

std::string_view to_string(refusal_cause cause) {
    switch (cause) {
        case refusal_cause::leaving:
            return "leaving";
        case refusal_cause::no_policy:
            return "no_policy";
        case refusal_cause::policy_not_fresh:
            return "policy_not_fresh";
        case refusal_cause::no_route:
            return "no_route";
        case refusal_cause::unknown_key:
            return "unknown_key";
        case refusal_cause::malformed:
            return "malformed";
        case refusal_cause::over_quota:
            return "over_quota";
        case refusal_cause::quarantined:
            return "quarantined";
        case refusal_cause::no_engine:
            return "no_engine";
        case refusal_cause::engines_limited:
            return "engines_limited";
        case refusal_cause::engines_backing_off:
            return "engines_backing_off";
        case refusal_cause::origin_unknown:
            return "origin_unknown";
        case refusal_cause::version_gone:
            return "version_gone";
        case refusal_cause::overloaded:
            return "overloaded";
        case refusal_cause::engine_failed:
            return "engine_failed";
        case refusal_cause::deadline_exceeded:
            return "deadline_exceeded";
        case refusal_cause::caller_gone:
            break;
    }
    return "caller_gone";
}

relay_refusal to_relay_refusal(const core::execution::refuse& action) {
    return {cause_of(action.reason), action.report, action.retry_after};
}

http::response to_response(const relay_refusal& refusal) {
    const unsigned status = status_of(refusal);
    const std::string_view type = status < 500 ? "invalid_request_error" : "server_error";
    http::response answer = http::error_response(
        status, {type, to_string(refusal.cause), core::execution::to_string(refusal.report)});
    const bool may_retry = status == unavailable || status == too_many_requests;
    if (may_retry && refusal.retry_after) {
        answer.headers.add("Retry-After", seconds_text(*refusal.retry_after));
    }
    return answer;
}

}  // namespace ferryroad::relay
