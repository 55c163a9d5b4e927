/// Checks the answers that callers get: status, error code, execution header and Retry-After.
#include "test/caller/front_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ferryroad;
using test::authorized;
using test::completion_text;
using test::request_text;

namespace {

enum class fault { none, unready, limited, full, no_engine, engine_lost, claims_down };

struct row {
    const char* name;
    std::string bytes;
    fault given;
    const char* status;
    const char* code;  ///< Expected `error.code`; empty: no error.
    const char* execution;
    const char* retry_after;  ///< Empty: none; *: any.
};

std::string chat_text(const std::string& fields) {
    return request_text("POST /v1/chat/completions", authorized, R"({"model":"m1")" + fields + "}");
}
std::string record_text(const std::string& headers, const std::string& body) {
    return request_text("POST /app/records", authorized + headers, body);
}

const std::vector<row>& rows() {
    static const std::string long_prompt(4000, 'x');
    static const std::string deep(200, '[');
    static const std::vector<row> table = {
        {"completion", completion_text(""), fault::none, "200", "", "complete", ""},
        {"chat", chat_text(R"(,"messages":[{"role":"user","content":"hi"}])"), fault::none, "200",
         "", "complete", ""},
        {"application", request_text("GET /app/readings/7?day=1", authorized, ""), fault::none,
         "200", "", "complete", ""},
        {"no key", request_text("POST /v1/completions", "", "{}"), fault::none, "401",
         "unauthorized", "not-run", ""},
        {"another scheme", request_text("GET /app/readings", "Authorization: Basic eA==\r\n", ""),
         fault::none, "401", "unauthorized", "not-run", ""},
        {"unknown tenant",
         request_text("POST /v1/completions", "Authorization: Bearer wrong\r\n",
                      R"({"model":"m1","prompt":"x"})"),
         fault::none, "401", "unauthorized", "not-run", ""},
        {"unknown model",
         request_text("POST /v1/completions", authorized, R"({"model":"m2","prompt":"x"})"),
         fault::none, "404", "unknown_model", "not-run", ""},
        {"unknown adapter", completion_text(R"(,"adapter":"a9")"), fault::none, "404",
         "unknown_model", "not-run", ""},
        {"unknown route", request_text("GET /elsewhere", authorized, ""), fault::none, "404",
         "unknown_route", "not-run", ""},
        {"method of no route", request_text("GET /app/records", authorized, ""), fault::none, "404",
         "unknown_route", "not-run", ""},
        {"prefix ends inside a segment", request_text("GET /app/readingsx", authorized, ""),
         fault::none, "404", "unknown_route", "not-run", ""},
        {"GET on completions", request_text("GET /v1/completions", authorized, ""), fault::none,
         "405", "method_not_allowed", "not-run", ""},
        {"malformed JSON", request_text("POST /v1/completions", authorized, "{\"model\":"),
         fault::none, "400", "malformed_body", "not-run", ""},
        {"JSON too deep", request_text("POST /v1/completions", authorized, deep), fault::none,
         "400", "malformed_body", "not-run", ""},
        {"not UTF-8",
         request_text("POST /v1/completions", authorized, "{\"model\":\"m1\",\"prompt\":\"\xff\"}"),
         fault::none, "400", "malformed_body", "not-run", ""},
        {"no object", request_text("POST /v1/completions", authorized, "[]"), fault::none, "400",
         "invalid_request", "not-run", ""},
        {"prompt of another type",
         request_text("POST /v1/completions", authorized, R"({"model":"m1","prompt":7})"),
         fault::none, "400", "invalid_request", "not-run", ""},
        {"empty prompt",
         request_text("POST /v1/completions", authorized, R"({"model":"m1","prompt":""})"),
         fault::none, "400", "invalid_request", "not-run", ""},
        {"no messages", chat_text(R"(,"messages":[])"), fault::none, "400", "invalid_request",
         "not-run", ""},
        {"unknown role", chat_text(R"(,"messages":[{"role":"|>","content":"x"}])"), fault::none,
         "400", "invalid_request", "not-run", ""},
        {"no tokens wanted", completion_text(R"(,"max_tokens":0)"), fault::none, "400",
         "invalid_request", "not-run", ""},
        {"several answers", completion_text(R"(,"n":2)"), fault::none, "400", "invalid_request",
         "not-run", ""},
        {"prompt over the context",
         request_text("POST /v1/completions", authorized,
                      R"({"model":"m1","prompt":")" + long_prompt + "\"}"),
         fault::none, "400", "prompt_too_long", "not-run", ""},
        {"body over the limit",
         request_text("POST /v1/completions", authorized, std::string(9000, 'x')), fault::none,
         "413", "request_body_too_large", "not-run", ""},
        {"not HTTP", "what?\r\n\r\n", fault::none, "400", "malformed_request", "not-run", ""},
        {"idempotency key with spaces", record_text("Idempotency-Key: a b\r\n", "x"), fault::none,
         "400", "invalid_request", "not-run", ""},
        {"over the limit", completion_text(""), fault::limited, "429", "over_limit", "not-run",
         "*"},
        {"unready router", completion_text(""), fault::unready, "503", "not_ready", "not-run", "2"},
        {"pool full", completion_text(""), fault::full, "503", "overloaded", "not-run", "2"},
        {"no engine", completion_text(""), fault::no_engine, "503", "no_engine", "not-run", "1"},
        {"lost, may not be repeated", record_text("", "x"), fault::engine_lost, "502",
         "outcome_unknown", "unknown", "1"},
        {"claims can't be recorded", record_text("Idempotency-Key: k\r\n", "x"), fault::claims_down,
         "503", "platform_unavailable", "not-run", "3"},
    };
    return table;
}

void bring_about(fault given, test::fake_router& router) {
    switch (given) {
        case fault::none:
            return;
        case fault::unready:
            router.configuration.is_confirmed = false;
            return;
        case fault::limited: {
            auto& limits = router.configuration.declared.tenants.begin()->second.limits;
            limits.requests_per_second = 0.001;
            limits.request_burst = 1;
            return;
        }
        case fault::full:
            router.selector.failure = {router::selection_failure::deadline_too_near,
                                       std::chrono::milliseconds(1500)};
            return;
        case fault::no_engine:
            router.directory.engines.clear();
            return;
        case fault::engine_lost:
            router.engines.scripts.push_back(
                {engine::error{engine::error_code::connection_lost, engine::proof::unknown, "", {}},
                 {},
                 {}});
            return;
        case fault::claims_down:
            router.claims.outage = true;
            return;
    }
}

/// An HTTP answer split into its parts.
struct answer_parts {
    std::string status;
    std::string head;
    std::string body;
};

answer_parts parts_of(const std::string& answer) {
    const std::size_t gap = answer.find("\r\n\r\n");
    if (gap == std::string::npos || answer.size() < 12) {
        return {"", answer, ""};
    }
    return {answer.substr(9, 3), answer.substr(0, gap + 2), answer.substr(gap + 4)};
}

/// @return the value of a header, or nothing where it is absent.
std::string header_of(const answer_parts& answer, const std::string& name) {
    const std::size_t begin = answer.head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 4;
    return answer.head.substr(value, answer.head.find("\r\n", value) - value);
}

void expect_error_body(const row& sent, const answer_parts& answer) {
    const auto parsed = http::parse_json(answer.body);
    cr_assert(parsed.has_value(), "%s: %s", sent.name, answer.body.c_str());
    http::object_reader error(parsed->at("error"));
    cr_assert(error.text("code") == sent.code, "%s", sent.name);
    cr_assert_not(error.text("message").empty(), "%s", sent.name);
    cr_assert_not(error.text("type").empty(), "%s", sent.name);
    cr_assert(error.text("execution") == sent.execution, "%s", sent.name);
}

}  // namespace

ParameterizedTestParameters(caller_contract, table) {
    static std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        indexes.push_back(index);
    }
    return cr_make_param_array(std::size_t, indexes.data(), indexes.size());
}

ParameterizedTest(std::size_t* index, caller_contract, table) {
    const row& sent = rows()[*index];
    test::caller_fixture fixture;
    bring_about(sent.given, fixture.router);
    if (sent.given == fault::limited) {
        fixture.exchange(sent.bytes);
    }
    const answer_parts answer = parts_of(fixture.exchange(sent.bytes));
    cr_assert_str_eq(answer.status.c_str(), sent.status, "%s: %s", sent.name, answer.head.c_str());
    const std::string execution = header_of(answer, "Ferryroad-Execution");
    cr_assert_str_eq(execution.c_str(), sent.execution, "%s", sent.name);
    cr_assert_not(header_of(answer, "Ferryroad-Request-Id").empty(), "%s", sent.name);
    const std::string retry_after = header_of(answer, "Retry-After");
    if (std::string(sent.retry_after) == "*") {
        cr_assert_gt(std::stol(retry_after), 0, "%s", sent.name);
    } else {
        cr_assert_str_eq(retry_after.c_str(), sent.retry_after, "%s", sent.name);
    }
    if (*sent.code) {
        expect_error_body(sent, answer);
    }
}
