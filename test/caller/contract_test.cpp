/// What callers get, answer by answer: status, code, execution and when to come back.
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
    const char* code;  ///< Empty: no error.
    const char* execution;
    bool retry_after;
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
        {"completion", completion_text(""), fault::none, "200", "", "complete", false},
        {"chat", chat_text(R"(,"messages":[{"role":"user","content":"hi"}])"), fault::none, "200",
         "", "complete", false},
        {"application", request_text("GET /app/readings/7?day=1", authorized, ""), fault::none,
         "200", "", "complete", false},
        {"no key", request_text("POST /v1/completions", "", "{}"), fault::none, "401",
         "unauthorized", "not-run", false},
        {"another scheme", request_text("GET /app/readings", "Authorization: Basic eA==\r\n", ""),
         fault::none, "401", "unauthorized", "not-run", false},
        {"unknown tenant",
         request_text("POST /v1/completions", "Authorization: Bearer wrong\r\n",
                      R"({"model":"m1","prompt":"x"})"),
         fault::none, "401", "unauthorized", "not-run", false},
        {"unknown model",
         request_text("POST /v1/completions", authorized, R"({"model":"m2","prompt":"x"})"),
         fault::none, "404", "unknown_model", "not-run", false},
        {"unknown adapter", completion_text(R"(,"adapter":"a9")"), fault::none, "404",
         "unknown_model", "not-run", false},
        {"unknown route", request_text("GET /elsewhere", authorized, ""), fault::none, "404",
         "unknown_route", "not-run", false},
        {"method of no route", request_text("GET /app/records", authorized, ""), fault::none,
         "404", "unknown_route", "not-run", false},
        {"prefix ends inside a segment", request_text("GET /app/readingsx", authorized, ""),
         fault::none, "404", "unknown_route", "not-run", false},
        {"GET on completions", request_text("GET /v1/completions", authorized, ""), fault::none,
         "405", "method_not_allowed", "not-run", false},
        {"malformed JSON", request_text("POST /v1/completions", authorized, "{\"model\":"),
         fault::none, "400", "malformed_body", "not-run", false},
        {"JSON too deep", request_text("POST /v1/completions", authorized, deep), fault::none,
         "400", "malformed_body", "not-run", false},
        {"not UTF-8",
         request_text("POST /v1/completions", authorized, "{\"model\":\"m1\",\"prompt\":\"\xff\"}"),
         fault::none, "400", "malformed_body", "not-run", false},
        {"no object", request_text("POST /v1/completions", authorized, "[]"), fault::none, "400",
         "invalid_request", "not-run", false},
        {"prompt of another type",
         request_text("POST /v1/completions", authorized, R"({"model":"m1","prompt":7})"),
         fault::none, "400", "invalid_request", "not-run", false},
        {"empty prompt",
         request_text("POST /v1/completions", authorized, R"({"model":"m1","prompt":""})"),
         fault::none, "400", "invalid_request", "not-run", false},
        {"no messages", chat_text(R"(,"messages":[])"), fault::none, "400", "invalid_request",
         "not-run", false},
        {"unknown role", chat_text(R"(,"messages":[{"role":"|>","content":"x"}])"), fault::none,
         "400", "invalid_request", "not-run", false},
        {"no tokens wanted", completion_text(R"(,"max_tokens":0)"), fault::none, "400",
         "invalid_request", "not-run", false},
        {"several answers", completion_text(R"(,"n":2)"), fault::none, "400", "invalid_request",
         "not-run", false},
        {"prompt over the context",
         request_text("POST /v1/completions", authorized,
                      R"({"model":"m1","prompt":")" + long_prompt + "\"}"),
         fault::none, "400", "prompt_too_long", "not-run", false},
        {"body over the limit",
         request_text("POST /v1/completions", authorized, std::string(9000, 'x')), fault::none,
         "413", "request_body_too_large", "", false},
        {"not HTTP", "what?\r\n\r\n", fault::none, "400", "malformed_request", "", false},
        {"idempotency key with spaces", record_text("Idempotency-Key: a b\r\n", "x"), fault::none,
         "400", "invalid_request", "not-run", false},
        {"over the limit", completion_text(""), fault::limited, "429", "over_limit", "not-run",
         true},
        {"unready router", completion_text(""), fault::unready, "503", "not_ready", "not-run",
         true},
        {"pool full", completion_text(""), fault::full, "503", "overloaded", "not-run", true},
        {"no engine", completion_text(""), fault::no_engine, "503", "no_engine", "not-run", true},
        {"lost, may not be repeated", record_text("", "x"), fault::engine_lost, "502",
         "outcome_unknown", "unknown", true},
        {"claims can't be recorded", record_text("Idempotency-Key: k\r\n", "x"),
         fault::claims_down, "503", "platform_unavailable", "not-run", true},
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
            limits.concurrent_requests = 1;
            router::admission_query other;
            other.tenant = base::tenant_name("aire");
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

}  // namespace
